/* Admission control of an agent: the final check of each start, the credits granted to entries, and
 * the results kept until entries acknowledge them. */
#ifndef GG_GATE_H
#define GG_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "ident.h"
#include "status.h"
#include "table.h"

struct gate_limits {
	/* Limit on the delay of a start (receive time minus send time) beyond the smallest delay
	 * seen recently on its channel. A start that exceeds the limit is refused. */
	int64_t max_start_delay_us;
	uint32_t prefetch; /* starts admitted per slot beyond the first; 0 or 1 */
	/* Time without a message after which an entry's unused credits are granted to other
	 * entries; 0 disables this. */
	int64_t silence_timeout_us;
};

/* A start request as received from an entry. */
struct gate_start {
	uint64_t seq;
	int64_t sent_us; /* sender's clock */
	uint64_t config_version;
};

/* The flow control fields of a message from an entry. */
struct gate_header {
	int64_t sent_us;     /* sender's clock */
	uint64_t demand;     /* tasks queued at the entry */
	uint64_t consumed;   /* total of credits used or returned */
	uint64_t result_ack; /* highest result number received */
};

/* A result kept until the entry acknowledges it. BODY and REASON are allocated with malloc and
 * owned by the gate once passed to it. */
struct gate_result {
	uint64_t number; /* position in the channel's sequence of results, from 1 */
	uint64_t seq;	 /* sequence number of the start */
	enum status status;
	bool not_started;
	uint8_t *body;
	uint32_t body_bytes;
	uint64_t run_us;
	char *reason; /* may be NULL */
};

/* State of an outstanding start as reported by gate_reconcile. */
enum gate_start_state {
	GATE_START_RUNNING,	 /* admitted and not finished */
	GATE_START_FINISHED,	 /* finished; the result is stored and will be delivered */
	GATE_START_NOT_ADMITTED, /* not admitted, and can no longer be admitted */
};

struct gate; /* opaque: the channels, slots and results of one agent */

/* Creates a gate without channels or slots. */
struct gate *gate_new(const struct gate_limits *limits);
void gate_free(struct gate *gate);

/*
 * Opens the channel of the entry incarnation ENTRY, or begins a new epoch of an existing one, and
 * returns its handle. EPOCH must be above 0. When EPOCH is not above the channel's epoch, the
 * channel is left as it is. The results and the high-water mark, which is the highest sequence
 * number that can no longer be admitted, are kept when the epoch changes.
 */
struct handle gate_open_channel(struct gate *gate, const struct ident *entry, uint64_t epoch,
				int64_t now_us);

/*
 * Closes a channel and discards its results. Its unused credits become free for other entries.
 * Admitted starts keep their slots until gate_finish. The high-water mark is kept: if the same
 * entry incarnation returns, a start that was admitted before must be neither admitted again nor
 * reported as not admitted. The channel can be opened again, under the same handle, only with an
 * epoch above its last one.
 */
void gate_close_channel(struct gate *gate, struct handle channel);

/* Applies the header of a message of EPOCH. A higher EPOCH than the channel's begins a new epoch.
 * Returns false and ignores the message when the channel is closed or unknown, or when EPOCH is
 * below the channel's epoch. */
bool gate_receive_header(struct gate *gate, struct handle channel, uint64_t epoch,
			 const struct gate_header *header, int64_t now_us);

/*
 * Admits or refuses a start. With STATUS_OK, the start is admitted, occupies a slot and must be
 * run. With any other status the request starts nothing. STATUS_DUPLICATE_START: the sequence
 * number is not above the high-water mark (the start may have been admitted before), or the channel
 * is closed or unknown; no answer is sent. The other refusals are final: STATUS_START_LATE,
 * STATUS_STALE_CONFIG, STATUS_SERVER_LEAVING, STATUS_NO_SLOT.
 *
 * Starts whose sequence numbers were skipped since the last start were lost within the connection.
 * They can no longer be admitted, so a refusal with STATUS_NETWORK is stored for each. No refusal
 * is stored for them when START's number exceeds the total of credits granted: a correct entry
 * never sends such a start, and it is refused with STATUS_NO_SLOT.
 */
enum status gate_admit(struct gate *gate, struct handle channel, const struct gate_start *start,
		       int64_t now_us);

/* Ends an admitted start: frees its slot and stores RESULT, whose number is filled in. On a closed
 * channel, or when the start is not admitted, the result is discarded. */
void gate_finish(struct gate *gate, struct handle channel, struct gate_result *result);

/* Stores RESULT as the refusal of a start that was not admitted; its number is filled in. On a
 * closed or unknown channel RESULT is discarded. */
void gate_store_refusal(struct gate *gate, struct handle channel, struct gate_result *result);

/*
 * Returns the state of the outstanding start SEQ after a reconnection. The high-water mark is first
 * raised to NEXT_SEQ - 1, and at least to SEQ, so that starts that never arrived can no longer be
 * admitted. If the result of SEQ was discarded by gate_close_channel, a new result with
 * STATUS_AGENT_LOST is stored (the task may have run) and GATE_START_FINISHED is returned. For an
 * unknown channel, GATE_START_NOT_ADMITTED is returned.
 */
enum gate_start_state gate_reconcile(struct gate *gate, struct handle channel, uint64_t next_seq,
				     uint64_t seq);

/* Returns the first stored result with a number above AFTER, or NULL when there is none. Until the
 * first message of an epoch arrives the return value is always NULL, because that message may
 * renumber the results. The pointer is valid until the next call that changes the gate. */
const struct gate_result *gate_next_result(const struct gate *gate, struct handle channel,
					   uint64_t after);

/* Sets the number of slots, that is, how many starts may run at once, which depends on the server's
 * announcement, configuration, calendar and health. With 0, no new starts are admitted. */
void gate_set_slots(struct gate *gate, uint32_t slots);

/* Sets the configuration version below which starts are refused. A lower version than the current
 * one has no effect. */
void gate_set_config_version(struct gate *gate, uint64_t version);

/* While LEAVING is set, starts are refused with STATUS_SERVER_LEAVING and no credits are granted.
 */
void gate_set_leaving(struct gate *gate, bool leaving);

/* A change of an entry's credits that the agent must send to it. */
struct gate_credit_change {
	struct handle channel;
	uint64_t granted; /* new total */
	uint64_t reclaim; /* number of credits to request back, or 0 */
};

/*
 * Grants free slots as credits, stores up to CAPACITY changes in OUT and returns their number;
 * further changes are returned by the next call. Entries receive credits in proportion to their
 * demand, and the entry whose demand is covered least comes first; credits that exceed the demand
 * are spread evenly. Unused credits are reclaimed when an entry has demand and no credit, or when
 * the slots no longer suffice for the admitted starts and the unused credits together. A request to
 * return credits is repeated only after a second without an answer. Call this function after all
 * starts of a message were passed to gate_admit, since gate_receive_header already counts them as
 * consumed.
 */
uint32_t gate_distribute_credits(struct gate *gate, struct gate_credit_change *out,
				 uint32_t capacity);

/* Returns whether the entry reported queued tasks. In that case new credits should be sent at once
 * in a message of their own; otherwise they can wait for the next message. */
bool gate_has_demand(const struct gate *gate, struct handle channel);

/* Returns the total of credits ever granted on a channel, for the header of each message. */
uint64_t gate_granted_total(const struct gate *gate, struct handle channel);

/* Returns the lowest sequence number that may still be admitted on the channel. */
uint64_t gate_next_seq(const struct gate *gate, struct handle channel);

/* Returns the number of admitted starts without a result on all channels. */
uint32_t gate_admitted_count(const struct gate *gate);

/* Returns the number of unacknowledged results on all channels. */
uint32_t gate_unacknowledged_count(const struct gate *gate);

#endif
