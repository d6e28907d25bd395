// Package relay is the sixth stage of the pipeline. It sends an answer to the caller. Writes block while the caller reads
// slowly, and no more of the answer is read from the endpoint meanwhile, so that each stream uses a fixed amount of memory.
package relay
