package fleet

import "testing"

func TestParseHint(t *testing.T) {
	for text, want := range map[string]string{
		"1": "right", "1/30": "30 times too low", "30": "30 times too high",
		"none": "none",
	} {
		if f, err := ParseHint(text); err != nil || hintText(f) != want {
			t.Errorf("hint %s: parsed as %v, %v", text, f, err)
		}
	}
	for _, text := range []string{"", "x", "1/0", "0", "-1", "1/x"} {
		if _, err := ParseHint(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
