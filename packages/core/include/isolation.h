/*
 * Decides whether this process is cut off from everybody.
 *
 * Load pattern: an entry is cut off. Its agents stop its runs, its clients give up and send their
 * jobs to other entries. When it is reachable again, its agents may connect before it learns which
 * of its clients have left.
 */
#ifndef GG_ISOLATION_H
#define GG_ISOLATION_H

#include <stdbool.h>
#include <stdint.h>

struct isolation {
	int64_t timeout_us; /* silence of everybody that counts as isolation */
	int64_t since_us;   /* when the current isolation was found */
	bool isolated;
	bool quiet; /* as isolated, but nobody was expected to send anything */
};

enum isolation_change {
	ISOLATION_UNCHANGED,
	ISOLATION_BEGINS,
	ISOLATION_ENDS,
	QUIET_BEGINS,
	QUIET_ENDS
};

/* Begins an isolation, which ends with the next input. */
void isolation_begin(struct isolation *isolation, int64_t now_us);

/* Takes note of the last input, at LAST_INPUT_US from anybody, and of the last link that failed
 * because its peer was silent, at LAST_SILENT_US (0 if none). Without such a link, nobody was
 * expected to send anything, and it is unknown whether this process is cut off. */
enum isolation_change isolation_update(struct isolation *isolation, int64_t last_input_us,
				       int64_t last_silent_us, int64_t now_us);

#endif
