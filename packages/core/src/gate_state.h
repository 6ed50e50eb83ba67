/* The state of the gate, shared by admission and results (gate.c) and credits (gate_credit.c). */
#ifndef GG_GATE_STATE_H
#define GG_GATE_STATE_H

#include <glib.h>

#include "gate.h"
#include "seqset.h"

/* Smallest (receive - send) over the current and the previous window. */
struct gate_baseline {
	int64_t current_us;
	int64_t previous_us;
	int64_t window_start_us;
	bool known;
};

/* Results with the numbers last_number - count + 1 .. last_number. */
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
	uint64_t high_water_mark; /* highest sequence number seen or sealed */
	uint64_t discarded_mark;  /* results of starts up to here were forgotten, but for running
				     ones */
	uint64_t granted;
	uint64_t consumed; /* highest heard, at most granted */
	uint64_t demand;
	int64_t demand_sent_us; /* send time of the message with the latest demand */
	int64_t last_message_us;
	uint64_t reclaim_target; /* value of consumed at which the last reclaim is answered */
	int64_t reclaim_time_us;
	int64_t current_weight; /* smooth weighted round robin: grows by demand, shrinks per credit
				 */
	struct gate_baseline baseline;
	struct gate_results results;
	struct seqset running;
	uint64_t unsent_reclaim; /* to be told */
	bool granted_changed;	 /* to be told */
	bool closed;
	bool awaiting_first_message; /* no message of this epoch was heard */
};

struct gate {
	struct gate_limits limits;
	struct table channels; /* of struct gate_channel; rows are never removed */
	GHashTable *by_entry;  /* struct ident in the row -> row */
	uint64_t config_version;
	int64_t now_us; /* latest time seen */
	uint32_t slots;
	uint32_t running;
	uint32_t unacknowledged;
	uint32_t rotation_start; /* channel index at which an even spread begins */
	bool leaving;
};

/* Returns the number of starts that may be admitted at once. */
uint64_t gate_admission_limit(const struct gate *gate);

#endif
