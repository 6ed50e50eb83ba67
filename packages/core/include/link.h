/* The entry's side of a channel to one incarnation of an agent: sequence numbers, credits and
 * outstanding starts. */
#ifndef GG_LINK_H
#define GG_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "table.h"

/* A start that has no result or refusal yet. */
struct link_start {
	uint64_t seq;
	struct handle job;
	uint32_t task;
	int64_t sent_us;
};

struct link {
	uint64_t next_seq;	   /* sequence number of the next start, from 1 */
	uint64_t granted_total;	   /* credits granted so far, over all connections */
	uint64_t consumed_total;   /* credits used or returned so far, over all connections */
	uint64_t result_ack;	   /* all results up to this number were received */
	struct link_start *starts; /* hash table, open addressing by seq; seq 0: a free slot */
	uint32_t start_count;
	uint32_t start_capacity;
};

/*
 * Initializes LINK. Its counters span connections, so it must be kept as long as the incarnation of
 * the agent may reconnect. When the agent is considered lost, end its starts with
 * link_abandon_start and keep the link.
 */
void link_init(struct link *link);
void link_free(struct link *link);

/*
 * Applies the agent's Hello: NEXT_SEQ is the lowest sequence number that the agent has not seen and
 * GRANTED the total of credits that it has granted. If LINK is new or its next number is lower than
 * NEXT_SEQ, the agent may remember an earlier link of this entry that the entry no longer has:
 * numbering continues at NEXT_SEQ and all credits count as consumed. Otherwise nothing changes, so
 * this may be called for each Hello. The caller must have closed the connections of the earlier
 * link.
 */
void link_resume(struct link *link, uint64_t next_seq, uint64_t granted);

/* Returns the number of starts that may be sent now. */
uint64_t link_credits(const struct link *link);

/* Raises the total of granted credits to GRANTED. A value below the current total comes from a
 * delayed message and is ignored. */
void link_grant(struct link *link, uint64_t granted);

/* Records that up to COUNT unused credits are given back to the agent. Returns how many. */
uint64_t link_return_credits(struct link *link, uint64_t count);

/* Records a start of TASK of JOB, which consumes one credit. Returns its sequence number, or 0 when
 * no credit is left. */
uint64_t link_record_start(struct link *link, struct handle job, uint32_t task, int64_t now_us);

/*
 * Ends the start SEQ after its result or refusal, or after the agent has reported that it has not
 * admitted the start and never will. Stores the start at OUT and returns true, or returns false
 * when SEQ is not outstanding, for example for a repeated result.
 */
bool link_end_start(struct link *link, uint64_t seq, struct link_start *out);

/*
 * Returns whether the result NUMBER has not been acknowledged yet, and raises result_ack if it is
 * the next one in order. A result that arrives after a gap is accepted but not acknowledged, so the
 * agent repeats it once the gap is filled; link_end_start then returns false for its start.
 */
bool link_accept_result(struct link *link, uint64_t number);

/* Returns the number of outstanding starts and copies up to CAPACITY of them to OUT unless OUT is
 * NULL. */
uint32_t link_outstanding(const struct link *link, struct link_start *out, uint32_t capacity);

/*
 * Ends an arbitrary outstanding start, whose task may have run. Stores it at OUT and returns true,
 * or returns false when there is none. Called in a loop when the agent is considered lost; a result
 * that arrives later finds no start.
 */
bool link_abandon_start(struct link *link, struct link_start *out);

#endif
