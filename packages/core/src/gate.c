#include "gate.h"

#include <stdlib.h>
#include <string.h>

#include "core_defs.h"
#include "gate_state.h"

enum {
	INITIAL_RESULT_CAPACITY = 16,
	/* Clocks that are slewed by up to 500 ppm drift apart by 0.6 s over two windows, well below
	 * max_start_delay_us. Without windows, slow drift would eventually cause every start to be
	 * refused as late. */
	BASELINE_WINDOW_US = 600 * US_PER_SECOND,
};

static struct gate_channel *get_channel(const struct gate *gate, struct handle channel)
{
	return table_get(&gate->channels, channel);
}

static void free_result(struct gate_result *result)
{
	free(result->body);
	free(result->reason);
}

static struct gate_result *result_at(const struct gate_results *results, uint32_t i)
{
	return &results->ring[(results->first + i) & (results->capacity - 1)];
}

static void grow_results(struct gate_results *results)
{
	uint32_t capacity = results->capacity ? results->capacity * 2 : INITIAL_RESULT_CAPACITY;
	struct gate_result *ring = g_new(struct gate_result, capacity);

	for (uint32_t i = 0; i < results->count; i++)
		ring[i] = *result_at(results, i);
	g_free(results->ring);
	results->ring = ring;
	results->first = 0;
	results->capacity = capacity;
}

static void store_result(struct gate *gate, struct gate_channel *ch, struct gate_result *result)
{
	struct gate_results *results = &ch->results;

	if (results->count == results->capacity)
		grow_results(results);
	result->number = ++results->last_number;
	*result_at(results, results->count++) = *result;
	gate->unacknowledged_count++;
}

/* Frees the results up to the number ACK. */
static void free_results_up_to(struct gate *gate, struct gate_channel *ch, uint64_t ack)
{
	struct gate_results *results = &ch->results;

	while (results->count > 0 && result_at(results, 0)->number <= ack) {
		free_result(result_at(results, 0));
		results->first = (results->first + 1) & (results->capacity - 1);
		results->count--;
		gate->unacknowledged_count--;
	}
}

/*
 * Renumbers the stored results to follow ACK, the entry's acknowledgement in the first message of
 * an epoch, when there is a gap between them. A gap arises when gate_close_channel discarded
 * results, or when the entry lost the state of its channel. The entry would wait forever for the
 * missing numbers.
 */
static void renumber_results(struct gate_channel *ch, uint64_t ack)
{
	struct gate_results *results = &ch->results;

	if (ack >= results->last_number - results->count)
		return;
	for (uint32_t i = 0; i < results->count; i++)
		result_at(results, i)->number = ack + 1 + i;
	results->last_number = ack + results->count;
}

/* Returns A - B. The clocks differ by an arbitrary constant, so the subtraction is unsigned to
 * avoid overflow. */
static int64_t clock_difference(int64_t a, int64_t b)
{
	return (int64_t)((uint64_t)a - (uint64_t)b);
}

/* Updates the baseline with the delay of a message, which includes the offset between both clocks.
 */
static void update_baseline(struct gate_baseline *baseline, int64_t delay_us, int64_t now_us)
{
	if (!baseline->has_sample) {
		*baseline = (struct gate_baseline){.current_min_us = delay_us,
						   .previous_min_us = delay_us,
						   .window_start_us = now_us,
						   .has_sample = true};
		return;
	}
	if (now_us - baseline->window_start_us > BASELINE_WINDOW_US) {
		baseline->previous_min_us = baseline->current_min_us;
		baseline->current_min_us = delay_us;
		baseline->window_start_us = now_us;
		return;
	}
	if (clock_difference(delay_us, baseline->current_min_us) < 0)
		baseline->current_min_us = delay_us;
}

static bool is_late(const struct gate *gate, const struct gate_channel *ch, int64_t delay_us)
{
	const struct gate_baseline *baseline = &ch->baseline;
	int64_t excess = MAX(clock_difference(delay_us, baseline->current_min_us),
			     clock_difference(delay_us, baseline->previous_min_us));

	return excess > gate->limits.max_start_delay_us;
}

struct gate *gate_new(const struct gate_limits *limits)
{
	struct gate *gate = g_new0(struct gate, 1);

	gate->limits = *limits;
	table_init(&gate->channels, sizeof(struct gate_channel));
	gate->channels_by_entry = g_hash_table_new(ident_hash, ident_equal_func);
	return gate;
}

void gate_free(struct gate *gate)
{
	struct gate_channel *ch;
	uint32_t cursor = 0;

	if (!gate)
		return;
	while ((ch = table_next(&gate->channels, &cursor, NULL))) {
		free_results_up_to(gate, ch, UINT64_MAX);
		g_free(ch->results.ring);
		seqset_free(&ch->admitted_seqs);
	}
	g_hash_table_destroy(gate->channels_by_entry);
	table_free(&gate->channels);
	g_free(gate);
}

/* Begins the epoch EPOCH of CH. Discards the last reclaim, since its request may have been lost
 * with the previous connection. */
static void begin_epoch(struct gate_channel *ch, uint64_t epoch)
{
	ch->epoch = epoch;
	ch->reclaim_target = 0;
	ch->awaiting_first_message = true;
}

static struct gate_channel *add_channel(struct gate *gate, const struct ident *entry,
					struct handle *handle)
{
	struct gate_channel *ch = table_add(&gate->channels, handle);

	ch->entry = *entry;
	ch->handle = *handle;
	g_hash_table_insert(gate->channels_by_entry, &ch->entry, ch);
	return ch;
}

struct handle gate_open_channel(struct gate *gate, const struct ident *entry, uint64_t epoch,
				int64_t now_us)
{
	struct gate_channel *ch = g_hash_table_lookup(gate->channels_by_entry, entry);
	struct handle handle;

	gate->now_us = MAX(gate->now_us, now_us);
	if (!ch)
		ch = add_channel(gate, entry, &handle);
	handle = ch->handle;
	if (epoch <= ch->epoch)
		return handle;
	begin_epoch(ch, epoch);
	ch->closed = false;
	ch->last_message_us = now_us;
	return handle;
}

void gate_close_channel(struct gate *gate, struct handle channel)
{
	struct gate_channel *ch = get_channel(gate, channel);

	if (!ch || ch->closed)
		return;
	ch->closed = true;
	ch->discarded_up_to_seq = ch->high_water_mark;
	ch->demand = 0;
	ch->current_weight = 0;
	ch->unsent_reclaim = 0;
	ch->granted_changed = false;
	free_results_up_to(gate, ch, UINT64_MAX);
}

bool gate_receive_header(struct gate *gate, struct handle channel, uint64_t epoch,
			 const struct gate_header *header, int64_t now_us)
{
	struct gate_channel *ch = get_channel(gate, channel);

	if (!ch || ch->closed || epoch < ch->epoch)
		return false;
	if (epoch > ch->epoch)
		begin_epoch(ch, epoch);
	gate->now_us = MAX(gate->now_us, now_us);
	ch->last_message_us = now_us;
	/* The demand in a message that is older than the last one whose demand was taken is
	 * outdated. */
	if (!ch->baseline.has_sample ||
	    clock_difference(header->sent_us, ch->demand_sent_us) >= 0) {
		ch->demand = header->demand;
		ch->demand_sent_us = header->sent_us;
	}
	update_baseline(&ch->baseline, clock_difference(now_us, header->sent_us), now_us);
	ch->consumed_total = MAX(ch->consumed_total, MIN(header->consumed, ch->granted_total));
	if (ch->awaiting_first_message)
		renumber_results(ch, header->result_ack);
	ch->awaiting_first_message = false;
	free_results_up_to(gate, ch, header->result_ack);
	return true;
}

uint64_t gate_admission_limit(const struct gate *gate)
{
	return (uint64_t)gate->slot_count * (1 + (uint64_t)gate->limits.prefetch);
}

static void refuse_start(struct gate *gate, struct gate_channel *ch, uint64_t seq,
			 enum status status)
{
	struct gate_result result = {.seq = seq, .status = status, .not_started = true};

	store_result(gate, ch, &result);
}

/* Refuses the starts between the high-water mark and SEQ. They were lost while the connection
 * stayed open, so the entry may have no reason to reconcile and would wait for them forever. */
static void refuse_skipped_starts(struct gate *gate, struct gate_channel *ch, uint64_t seq)
{
	for (uint64_t skipped = ch->high_water_mark + 1; skipped < seq; skipped++)
		refuse_start(gate, ch, skipped, STATUS_NETWORK);
}

enum status gate_admit(struct gate *gate, struct handle channel, const struct gate_start *start,
		       int64_t now_us)
{
	struct gate_channel *ch = get_channel(gate, channel);
	int64_t delay_us = clock_difference(now_us, start->sent_us);

	if (!ch || ch->closed || start->seq <= ch->high_water_mark)
		return STATUS_DUPLICATE_START;
	/* No credit was granted for this number, so the entry violates the protocol. */
	if (start->seq > ch->granted_total) {
		ch->high_water_mark = start->seq;
		return STATUS_NO_SLOT;
	}
	refuse_skipped_starts(gate, ch, start->seq);
	ch->high_water_mark = start->seq;
	ch->consumed_total = MAX(ch->consumed_total, start->seq);
	update_baseline(&ch->baseline, delay_us, now_us);
	if (gate->leaving)
		return STATUS_SERVER_LEAVING;
	if (is_late(gate, ch, delay_us))
		return STATUS_START_LATE;
	if (start->config_version < gate->config_version)
		return STATUS_STALE_CONFIG;
	if (gate->admitted_count >= gate_admission_limit(gate))
		return STATUS_NO_SLOT;
	seqset_add(&ch->admitted_seqs, start->seq);
	gate->admitted_count++;
	return STATUS_OK;
}

void gate_finish(struct gate *gate, struct handle channel, struct gate_result *result)
{
	struct gate_channel *ch = get_channel(gate, channel);

	if (!ch || !seqset_remove(&ch->admitted_seqs, result->seq)) {
		free_result(result);
		return;
	}
	gate->admitted_count--;
	if (ch->closed) {
		free_result(result);
		return;
	}
	store_result(gate, ch, result);
}

void gate_store_refusal(struct gate *gate, struct handle channel, struct gate_result *result)
{
	struct gate_channel *ch = get_channel(gate, channel);

	if (!ch || ch->closed) {
		free_result(result);
		return;
	}
	result->not_started = true;
	store_result(gate, ch, result);
}

static bool has_result(const struct gate_channel *ch, uint64_t seq)
{
	for (uint32_t i = 0; i < ch->results.count; i++) {
		if (result_at(&ch->results, i)->seq == seq)
			return true;
	}
	return false;
}

enum gate_start_state gate_reconcile(struct gate *gate, struct handle channel, uint64_t next_seq,
				     uint64_t seq)
{
	struct gate_channel *ch = get_channel(gate, channel);
	struct gate_result lost = {.seq = seq, .status = STATUS_AGENT_LOST};

	if (!ch)
		return GATE_START_NOT_ADMITTED;
	if (next_seq > ch->high_water_mark + 1)
		ch->high_water_mark = next_seq - 1;
	ch->high_water_mark = MAX(ch->high_water_mark, seq);
	if (seqset_contains(&ch->admitted_seqs, seq))
		return GATE_START_RUNNING;
	if (has_result(ch, seq))
		return GATE_START_FINISHED;
	if (seq > ch->discarded_up_to_seq)
		return GATE_START_NOT_ADMITTED;
	store_result(gate, ch, &lost);
	return GATE_START_FINISHED;
}

const struct gate_result *gate_next_result(const struct gate *gate, struct handle channel,
					   uint64_t after)
{
	const struct gate_channel *ch = get_channel(gate, channel);
	uint64_t before_first;

	/* The entry's first message of an epoch may renumber the results. */
	if (!ch || ch->awaiting_first_message)
		return NULL;
	before_first = ch->results.last_number - ch->results.count;
	if (after < before_first)
		after = before_first;
	if (after >= ch->results.last_number)
		return NULL;
	return result_at(&ch->results, (uint32_t)(after - before_first));
}

void gate_set_slots(struct gate *gate, uint32_t slots)
{
	gate->slot_count = slots;
}

void gate_set_config_version(struct gate *gate, uint64_t version)
{
	gate->config_version = MAX(gate->config_version, version);
}

void gate_set_leaving(struct gate *gate, bool leaving)
{
	gate->leaving = leaving;
}

bool gate_has_demand(const struct gate *gate, struct handle channel)
{
	const struct gate_channel *ch = get_channel(gate, channel);

	return ch && ch->demand > 0;
}

uint64_t gate_granted_total(const struct gate *gate, struct handle channel)
{
	const struct gate_channel *ch = get_channel(gate, channel);

	return ch ? ch->granted_total : 0;
}

uint64_t gate_next_seq(const struct gate *gate, struct handle channel)
{
	const struct gate_channel *ch = get_channel(gate, channel);

	return ch ? ch->high_water_mark + 1 : 1;
}

uint32_t gate_admitted_count(const struct gate *gate)
{
	return gate->admitted_count;
}

uint32_t gate_unacknowledged_count(const struct gate *gate)
{
	return gate->unacknowledged_count;
}
