/* The entry's side of a channel to one agent incarnation: sequence numbers, credits and outstanding
 * starts. */
#ifndef GG_LINK_H
#define GG_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "table.h"

/* A start without a final answer yet. */
struct link_start {
	uint64_t seq;
	struct handle job;
	uint32_t task;
	int64_t sent_us;
};

struct link {
	uint64_t next_seq; /* of the next start, from 1 */
	uint64_t granted;
	uint64_t consumed;
	uint64_t result_ack;	   /* highest result number received in order */
	struct link_start *starts; /* open-addressed by seq; seq 0 marks a free place */
	uint32_t start_count;
	uint32_t start_capacity;
};

/*
 * A link lives as long as the agent incarnation may come back: its counters span connections. When
 * an agent is taken for gone, end its starts with link_abandon_start and keep the link.
 */
void link_init(struct link *link);
void link_free(struct link *link);

/*
 * Takes what the agent's Hello tells: the next number that it has not seen, and its grants. When
 * the link is new, or its numbers lie below, the agent knows this entry from a link that is
 * forgotten here: the numbers go on from there and all grants count as consumed. Otherwise nothing
 * changes, so it may be called for each Hello. The connections of the link before must be closed.
 */
void link_resume(struct link *link, uint64_t next_seq, uint64_t granted);

/* Returns the number of starts that may be sent now. */
uint64_t link_credits(const struct link *link);

/* Raises the credits to GRANTED in total; a lower value than before, from a late message, is
 * ignored. */
void link_grant(struct link *link, uint64_t granted);

/* Gives back up to COUNT unused credits. Returns the number given back. */
uint64_t link_return_credits(struct link *link, uint64_t count);

/* Records a start of TASK of JOB and returns its sequence number, or 0 when no credit is left. */
uint64_t link_record_start(struct link *link, struct handle job, uint32_t task, int64_t now_us);

/*
 * Ends the start SEQ because of a result, a refusal or a seal. Stores it at OUT and returns true,
 * or returns false when SEQ is not outstanding, as for a repeated result.
 */
bool link_end_start(struct link *link, uint64_t seq, struct link_start *out);

/*
 * Returns whether the result numbered NUMBER is new, and if it is the next one in order raises
 * result_ack. A result that arrives after a gap is new but not acknowledged, so it will be repeated
 * once the gap is filled; link_end_start then reports that its start has ended.
 */
bool link_accept_result(struct link *link, uint64_t number);

/* Returns the number of outstanding starts, and copies up to CAPACITY of them to OUT (which may be
 * NULL). */
uint32_t link_outstanding(const struct link *link, struct link_start *out, uint32_t capacity);

/*
 * Ends any one outstanding start, whose task may have run. Stores it at OUT and returns true, or
 * returns false when there is none. Called in a loop when the agent is taken for gone; a result
 * that arrives later is not accepted.
 */
bool link_abandon_start(struct link *link, struct link_start *out);

#endif
