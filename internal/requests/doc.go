// Package ledger is what a scheduler keeps in memory: queries, their attempts and deadlines, and the tables of
// ids. It feeds the decision module and hands on what the module wants done. It knows neither sockets nor any
// protocol: whatever speaks to clients enters queries by Take and is answered through Asker, and whatever
// speaks to worker nodes stands behind Carrier. A second protocol gets the same decisions and rules that way.
package requests
