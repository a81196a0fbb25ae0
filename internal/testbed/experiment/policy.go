package experiment

import (
	"fmt"
	"slices"
	"strings"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/mutation"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/simulation"
)

// PolicyDispatch is the name of the policy in production, package dispatch; all others are baseline policies.
const PolicyDispatch = "logic"

// ApertureSuffix at the end of a policy's name puts an aperture in front of each instance of the policy. Keys of the section
// [aperture] of the operators' file may follow: "logic+aperture:least=20:cover=3".
const ApertureSuffix = "+aperture"

// PeersSuffix at the end of a policy's name has its instances send each other datagrams, as the scenario's key peers.on does.
const PeersSuffix = "+peers"

// PolicyNames returns the names that Subject.Policy may have.
func PolicyNames() []string {
	names := []string{PolicyDispatch}
	for _, policy := range baseline.All() {
		names = append(names, policy.Name)
	}
	return names
}

// policyFactory creates the policy of a scheduler, for simulation.Options.
type policyFactory = func(settings dispatch.Settings, seed uint64, oracle baseline.Oracle) requests.Policy

// simulationOptions turns a subject into options of the simulation.
func simulationOptions(spec *scenario.Scenario, subject Subject) (simulation.Options, error) {
	var options simulation.Options
	name, narrowing, err := parsePolicy(spec, subject.Policy)
	if err != nil {
		return options, err
	}
	if name != "" && name != PolicyDispatch {
		policy, ok := baseline.Find(name)
		if !ok {
			return options, fmt.Errorf("unknown policy %q, expected one of %v", name, PolicyNames())
		}
		newPolicy := policy.ForRun()
		options.NewPolicy = func(settings dispatch.Settings, seed uint64, oracle baseline.Oracle) requests.Policy {
			return newPolicy(settings, seed, oracle)
		}
	}
	if subject.Mutant != "" {
		if err := applyMutant(&options, spec, subject.Mutant); err != nil {
			return options, err
		}
	}
	if narrowing != nil {
		options.NewPolicy = withAperture(options.NewPolicy, *narrowing)
	}
	return options, nil
}

// withPeers returns the policy's name without PeersSuffix, and the scenario, with peers enabled if the name had the suffix.
func withPeers(spec *scenario.Scenario, policy string) (*scenario.Scenario, string, error) {
	name, hasSuffix := strings.CutSuffix(policy, PeersSuffix)
	if !hasSuffix {
		return spec, policy, nil
	}
	spec, err := ApplyChanges(spec, []string{"peers.on=true"})
	return spec, name, err
}

// applyMutant sets options to run a mutant in front of each scheduler, or in place of its policy.
func applyMutant(options *simulation.Options, spec *scenario.Scenario, name string) error {
	all := mutation.All()
	i := slices.IndexFunc(all, func(mutant mutation.Mutant) bool { return mutant.Name == name })
	if i < 0 {
		return fmt.Errorf("unknown mutant %q", name)
	}
	mutant := all[i]
	if mutant.Wrap != nil {
		options.Wrap = func(scheduler simapi.Scheduler) simapi.Scheduler { return mutant.Wrap(spec, scheduler) }
	}
	if mutant.Policy != nil {
		options.NewPolicy = func(settings dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
			return mutant.Policy(settings, seed)
		}
	}
	return nil
}

// withAperture puts an aperture in front of the policies of a factory; nil stands for the policy in production.
func withAperture(inner policyFactory, narrowing aperture.Config) policyFactory {
	return func(settings dispatch.Settings, seed uint64, oracle baseline.Oracle) requests.Policy {
		policy := requests.Policy(dispatch.New(settings, seed))
		if inner != nil {
			policy = inner(settings, seed, oracle)
		}
		if !narrowing.Enabled(settings.Replicas) {
			return policy
		}
		return aperture.New(policy, settings, narrowing)
	}
}

// parsePolicy splits a policy into its name and the settings of its aperture. Without ApertureSuffix these are the ones in the
// scenario's operators' file; nil means no aperture.
func parsePolicy(spec *scenario.Scenario, policy string) (name string, narrowing *aperture.Config, err error) {
	name, keys, hasSuffix := strings.Cut(policy, ApertureSuffix)
	text := spec.Schedulers.OperationsFile
	if hasSuffix {
		if keys != "" && keys[0] != ':' {
			return "", nil, fmt.Errorf("policy %q: expected keys after %q, as in :least=20:cover=3", policy, ApertureSuffix)
		}
		text = "[aperture]" + strings.ReplaceAll(keys, ":", "\n")
	}
	ops, err := config.DecodeOps(text)
	if err != nil && hasSuffix {
		err = fmt.Errorf("policy %q: %w", policy, err)
	}
	return name, ops.Aperture, err
}
