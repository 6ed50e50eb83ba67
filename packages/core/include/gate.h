/* The agent's side of its channels: the last check before a task starts, credits to grant, results
 * to deliver. */
#ifndef GG_GATE_H
#define GG_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"
#include "table.h"

struct gate_limits {
	/* A start is refused when its delay exceeds the channel's baseline by more than this. */
	int64_t max_start_delay_us;
	uint32_t prefetch; /* starts admitted per slot in addition to the running one; 0 or 1 */
	/* When no message of an entry arrives for this long, its credits are granted to other
	 * entries; 0 for never. */
	int64_t silence_timeout_us;
};

/* A start as received. */
struct gate_start {
	uint64_t seq;
	int64_t sent_us; /* sender's clock */
	uint64_t config_version;
};

/* What an entry's message says about its channel. */
struct gate_header {
	int64_t sent_us;
	uint64_t demand;
	uint64_t consumed;
	uint64_t result_ack;
};

/* A result kept until the entry acknowledges it. BODY and REASON come from malloc and are owned by
 * the gate once passed to it. */
struct gate_result {
	uint64_t number;
	uint64_t seq;
	enum status status;
	bool not_started;
	uint8_t *body;
	uint32_t body_bytes;
	uint64_t run_us;
	char *reason; /* may be NULL */
};

enum gate_start_state {
	GATE_START_RUNNING,
	GATE_START_FINISHED,
	GATE_START_SEALED,
};

struct gate; /* opaque: the channels, slots and results of one agent */

/* Returns a gate without channels or slots. */
struct gate *gate_new(const struct gate_limits *limits);
void gate_free(struct gate *gate);

/*
 * Opens the channel of the entry incarnation ENTRY, or the next epoch of an open one, and returns
 * its handle. EPOCH is above 0. A channel keeps its high-water mark and results over epochs.
 */
struct handle gate_open_channel(struct gate *gate, const struct ident *entry, uint64_t epoch,
				int64_t now_us);

/*
 * Forgets the credits and results of a channel. Starts that still run keep their slots until
 * gate_finish. The high-water mark stays: should the entry incarnation return, a start that passed
 * before must not pass again, nor be called sealed. The channel opens again, under the same handle,
 * with an epoch above the last one only.
 */
void gate_close_channel(struct gate *gate, struct handle channel);

/* Takes what a message of EPOCH says. Returns false when the epoch is lower than the channel's: the
 * message is ignored. */
bool gate_receive_header(struct gate *gate, struct handle channel, uint64_t epoch,
			 const struct gate_header *header, int64_t now_us);

/*
 * Decides on a start. STATUS_OK: it passed the gate, holds a slot and must be run. Otherwise it did
 * not start and never will: STATUS_DUPLICATE_START (number not above the high-water mark; nothing
 * is answered), STATUS_START_LATE, STATUS_STALE_CONFIG, STATUS_SERVER_LEAVING, STATUS_NO_SLOT.
 * Numbers skipped since the last start were lost within the connection; each is refused with a
 * stored result of STATUS_NETWORK, since it can no longer pass.
 */
enum status gate_admit(struct gate *gate, struct handle channel, const struct gate_start *start,
		       int64_t now_us);

/* Ends a start that passed the gate, frees its slot and stores its result; RESULT's number is
 * filled in. */
void gate_finish(struct gate *gate, struct handle channel, struct gate_result *result);

/* Stores a refusal of a start that did not pass the gate, as a result; RESULT's number is filled
 * in. */
void gate_store_refusal(struct gate *gate, struct handle channel, struct gate_result *result);

/*
 * Answers for the outstanding start SEQ after a new connection, and first raises the high-water
 * mark to NEXT_SEQ - 1, so that what was never seen is sealed. A start whose result was forgotten
 * by gate_close_channel gets a new result of STATUS_AGENT_LOST (it may have run) and is
 * GATE_START_FINISHED.
 */
enum gate_start_state gate_reconcile(struct gate *gate, struct handle channel, uint64_t next_seq,
				     uint64_t seq);

/* Returns the first kept result with a number above AFTER, or NULL; none before the first message
 * of an epoch was heard, which may set the numbers anew. Valid until the next call that changes the
 * gate. */
const struct gate_result *gate_next_result(const struct gate *gate, struct handle channel,
					   uint64_t after);

/* Sets how many starts may run at once (announcement, configuration, calendar and health together);
 * 0 stops new work. */
void gate_set_slots(struct gate *gate, uint32_t slots);

/* Sets the configuration version below which starts are refused. */
void gate_set_config_version(struct gate *gate, uint64_t version);

/* With leaving set, starts are refused with STATUS_SERVER_LEAVING and nothing is granted. */
void gate_set_leaving(struct gate *gate, bool leaving);

/* A change of credits that the agent must tell an entry. */
struct gate_credit_change {
	struct handle channel;
	uint64_t granted; /* new total */
	uint64_t reclaim; /* credits to ask back, or 0 */
};

/*
 * Distributes free slots as credits and stores up to CAPACITY changes at OUT. Returns their number;
 * changes that found no place there come with the next call. Credits go to the entries in
 * proportion to demand, in rotation; what exceeds the demand is spread evenly. When an entry has
 * demand and no credit, or the slots shrank below what is promised, unused credits are asked back,
 * once until they are returned. Call it after all starts of a message were admitted, since
 * gate_receive_header already counts them as consumed.
 */
uint32_t gate_distribute_credits(struct gate *gate, struct gate_credit_change *out,
				 uint32_t capacity);

/* Returns whether the entry told of tasks that wait, so that new credits are worth a message. */
bool gate_has_demand(const struct gate *gate, struct handle channel);

/* Returns the total granted on a channel, for the header of each message. */
uint64_t gate_granted_total(const struct gate *gate, struct handle channel);

/* Returns the first sequence number that was not seen on the channel. */
uint64_t gate_next_seq(const struct gate *gate, struct handle channel);

/* Returns the number of starts that run, over all channels. */
uint32_t gate_running_count(const struct gate *gate);

/* Returns the number of results not acknowledged yet, over all channels. */
uint32_t gate_unacknowledged_count(const struct gate *gate);

#endif
