/* Internal state of the gate, shared by admission and results (gate.c) and credits (gate_credit.c).
 */
#ifndef GG_GATE_STATE_H
#define GG_GATE_STATE_H

#include <glib.h>

#include "gate.h"
#include "seqset.h"

/* Smallest difference between receive and send time in the current and in the previous window. Both
 * values contain the constant offset between the clocks of agent and entry. */
struct gate_baseline {
	int64_t current_min_us;
	int64_t previous_min_us;
	int64_t window_start_us;
	bool has_sample;
};

/* Ring buffer of the results numbered last_number - count + 1 to last_number. */
struct gate_results {
	struct gate_result *ring;
	uint32_t first;
	uint32_t count;
	uint32_t capacity; /* a power of two, or 0 */
	uint64_t last_number;
};

struct gate_channel {
	struct ident entry;
	struct handle handle;
	uint64_t epoch;
	uint64_t high_water_mark; /* highest sequence number that can no longer be admitted */
	/* The high-water mark when the channel was last closed. Results of starts up to it were
	 * discarded, except for starts that were still running. */
	uint64_t discarded_up_to_seq;
	uint64_t granted_total;
	uint64_t consumed_total; /* highest known total of credits used or returned; at most
				    granted_total */
	uint64_t demand;
	int64_t demand_sent_us; /* send time of the message that set demand */
	int64_t last_message_us;
	uint64_t reclaim_target; /* the last reclaim is answered once consumed_total reaches this */
	int64_t reclaim_time_us;
	/* For smooth weighted round robin: grows by the demand in each round and shrinks with each
	 * credit granted. */
	int64_t current_weight;
	struct gate_baseline baseline;
	struct gate_results results;
	struct seqset admitted_seqs;
	/* Changes that gate_distribute_credits has not returned yet. */
	uint64_t unsent_reclaim;
	bool granted_changed;
	bool closed;
	bool awaiting_first_message; /* no message of this epoch has arrived */
};

struct gate {
	struct gate_limits limits;
	struct table channels;	       /* rows are struct gate_channel and never removed */
	GHashTable *channels_by_entry; /* keyed by entry; the keys point into the rows */
	uint64_t config_version;
	int64_t now_us; /* latest time seen */
	uint32_t slot_count;
	uint32_t admitted_count;
	uint32_t unacknowledged_count;
	uint32_t rotation_start; /* channel index at which grant_evenly begins */
	bool leaving;
};

/* Returns how many starts may be admitted and unfinished at once: for each slot one that runs and
 * PREFETCH that wait. */
uint64_t gate_admission_limit(const struct gate *gate);

#endif
