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
	int64_t start_by_us; /* delay beyond the channel's baseline after which a start is refused
			      */
	uint32_t prefetch;   /* starts admitted for each slot beyond the one that runs, 0 or 1 */
};

/* A start as received. */
struct gate_start {
	uint64_t seq;
	int64_t sent_us; /* sender's clock */
	uint64_t config_version;
};

/* What an entry's message says about its channel. */
struct gate_news {
	int64_t sent_us;
	uint64_t demand;
	uint64_t consumed;
	uint64_t result_ack;
};

/* A result kept until the entry acknowledges it. BODY is owned by the gate once stored. */
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

enum gate_state {
	GATE_RUNNING,
	GATE_FINISHED,
	GATE_SEALED,
};

struct gate; /* opaque: the channels, slots and results of one agent */

/* Returns a gate without channels or slots. */
struct gate *gate_new(const struct gate_limits *limits);
void gate_free(struct gate *gate);

/*
 * Opens the channel of the entry incarnation ENTRY, or the next epoch of an open one, and returns
 * its handle. A channel keeps its high-water mark and results over epochs.
 */
struct handle gate_open(struct gate *gate, const struct ident *entry, uint64_t epoch,
			int64_t now_us);

/* Forgets a channel with its credits and results. Starts that still run keep their slots until
 * gate_finish. */
void gate_close(struct gate *gate, struct handle channel);

/* Takes what a message of EPOCH says. Returns false when the epoch is lower than the channel's: the
 * message is ignored. */
bool gate_hear(struct gate *gate, struct handle channel, uint64_t epoch,
	       const struct gate_news *news, int64_t now_us);

/*
 * Decides on a start. STATUS_OK: it passed the gate, holds a slot and must be run. Otherwise it did
 * not start and never will: STATUS_DUPLICATE_START (number not above the high-water mark; nothing
 * is answered), STATUS_START_LATE, STATUS_STALE_CONFIG, STATUS_SERVER_LEAVING, STATUS_NO_SLOT.
 */
enum status gate_admit(struct gate *gate, struct handle channel, const struct gate_start *start,
		       int64_t now_us);

/* Ends a start that passed the gate, frees its slot and stores its result; RESULT's number is
 * filled in. */
void gate_finish(struct gate *gate, struct handle channel, struct gate_result *result);

/* Stores a refusal of a start that did not pass the gate, as a result; RESULT's number is filled
 * in. */
void gate_refuse(struct gate *gate, struct handle channel, struct gate_result *result);

/*
 * Answers for the outstanding start SEQ after a new connection, and first raises the high-water
 * mark to NEXT_SEQ - 1, so that what was never seen is sealed.
 */
enum gate_state gate_reconcile(struct gate *gate, struct handle channel, uint64_t next_seq,
			       uint64_t seq);

/* Returns the first kept result with a number above AFTER, or NULL. Valid until the next call that
 * changes the gate. */
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
struct gate_change {
	struct handle channel;
	uint64_t granted; /* new total */
	uint64_t reclaim; /* credits to ask back, or 0 */
};

/*
 * Distributes free slots as credits by demand and stores up to CAPACITY changes at OUT. Returns
 * their number. Without demand anywhere the credits are spread evenly.
 */
uint32_t gate_distribute(struct gate *gate, struct gate_change *out, uint32_t capacity);

/* Returns the total granted on a channel, for the header of each message. */
uint64_t gate_granted(const struct gate *gate, struct handle channel);

/* Returns the first sequence number that was not seen on the channel. */
uint64_t gate_next_seq(const struct gate *gate, struct handle channel);

/* Returns the number of starts that run, over all channels. */
uint32_t gate_running(const struct gate *gate);

/* Returns the number of results not acknowledged yet, over all channels. */
uint32_t gate_unacknowledged(const struct gate *gate);

#endif
