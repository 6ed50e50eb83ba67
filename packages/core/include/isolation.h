/*
 * Decides whether this process is cut off: from everybody, or from the platform and most other
 * processes.
 *
 * Load pattern: an entry is cut off. Its agents stop its runs, its clients give up and send their
 * jobs to other entries. When it is reachable again, its agents may connect before it learns which
 * of its clients have left.
 *
 * Load pattern: an entry is cut off together with some of its agents. For these its runs are sound,
 * while its clients send their jobs to other entries.
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

/* The processes that an entry is linked with or has lost in silence. One that has closed its link
 * has ended, and is not counted. */
struct isolation_census {
	uint32_t entries;
	uint32_t agents;
	uint32_t silent_entries;
	uint32_t silent_agents;
};

enum {
	/* Silence of most processes from which on the platform is probed: one heartbeat is late. */
	PARTITION_SUSPECT_MS = 300,
	PARTITION_PROBE_INTERVAL_MS = 100,
	/* How long a process that was lost in silence is counted. By then it has settled all starts
	 * of this entry, of which the last may be in transit for 15 s. */
	PARTITION_FORGET_MS = 20000
};

/* Counts a process, an entry if IS_ENTRY, that is linked or was lost in silence, and was last heard
 * at HEARD_US. It counts as silent after SILENCE_US. */
void isolation_count(struct isolation_census *census, bool is_entry, int64_t heard_us,
		     int64_t silence_us, int64_t now_us);

/* Returns whether at least half of the processes, or all entries, are silent. A single process may
 * have stopped. */
bool isolation_most_silent(const struct isolation_census *census);

/* An entry whose platform does not answer while most processes are silent is cut off. The clients
 * are reached through the platform. */
struct partition {
	int64_t timeout_us;	/* silence after which a process counts as lost */
	int64_t first_limit_us; /* the same of the platform, before its first answer */
	int64_t suspected_us;	/* since when the platform is probed; 0 while it is not */
	int64_t answered_us;	/* when the last probe was sent that the platform has answered */
	int64_t probed_us;	/* when the last probe was sent */
	/* When this process was found to be cut off, or has started or woken. */
	int64_t since_us;
	bool cut_off;
	bool unconfirmed; /* the platform has not answered since the start */
};

enum partition_change {
	PARTITION_UNCHANGED,
	PARTITION_BEGINS,
	PARTITION_ENDS,
	PARTITION_CONFIRMED /* as at its end, after a start */
};

/* Call at the start of this process and after it was frozen. It may be cut off from processes that
 * it does not know, so that the platform is probed until it answers. */
void partition_start(struct partition *partition, int64_t now_us);

/* SUSPECTED tells whether most processes have been silent for PARTITION_SUSPECT_MS, and LOST
 * whether they have been for timeout_us. */
enum partition_change partition_update(struct partition *partition, bool suspected, bool lost,
				       int64_t now_us);

/* Returns whether to send a probe to the platform now, and takes note of it. */
bool partition_probe_due(struct partition *partition, int64_t now_us);

/* The platform has answered the probe that was sent at SENT_US. */
void partition_answered(struct partition *partition, int64_t sent_us);

#endif
