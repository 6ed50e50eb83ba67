/* Measures the cost of at-most-once execution and flow control: admissions, results, memory of
 * keys and claims, and distribution of credits. Prints one flat JSON object. */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "claims.h"
#include "gate.h"
#include "link.h"
#include "session.h"
#include "timer.h"

enum {
	START_COUNT = 2000000,
	BATCH_SIZE = 64, /* slots, and starts in each message */
	KEY_COUNT = 1000000,
	DISTRIBUTION_COUNT = 200000,
	DISTRIBUTION_ROUND = 64, /* distributions in each step of the outer loop */
	US_PER_SECOND = 1000000,
};

static const struct gate_limits limits = {.max_start_delay_us = 2 * US_PER_SECOND};

static struct gate *new_gate(uint32_t slots, uint32_t entries, struct handle *channels)
{
	struct gate *gate = gate_new(&limits);

	gate_set_slots(gate, slots);
	for (uint32_t i = 0; i < entries; i++) {
		struct ident entry = ident_digest(&i, sizeof(i));

		channels[i] = gate_open_channel(gate, &entry, 1, 0);
	}
	return gate;
}

static void report_demand(struct gate *gate, struct handle channel, uint64_t demand,
			  uint64_t consumed, uint64_t ack)
{
	struct gate_header header = {.demand = demand, .consumed = consumed, .result_ack = ack};

	gate_receive_header(gate, channel, 1, &header, 0);
}

/* Passes one batch of starts from link to gate and their results back. Adds the time of
 * the starts to DIRECTION_US[0] and that of the results to DIRECTION_US[1]. */
static void transfer_batch(struct gate *gate, struct handle channel, struct link *link,
			   int64_t direction_us[2])
{
	const struct gate_result *result = NULL;
	struct gate_credit_change change;
	struct link_start ended;
	int64_t begin_us = timer_clock_us();
	uint64_t first = link->next_seq;

	link_grant(link, gate_granted_total(gate, channel));
	while (link_record_start(link, (struct handle){1, 1}, 0, 0) != 0)
		;
	report_demand(gate, channel, BATCH_SIZE, link->consumed_total, link->result_ack);
	for (uint64_t seq = first; seq < link->next_seq; seq++)
		gate_admit(gate, channel, &(struct gate_start){.seq = seq}, 0);
	direction_us[0] += timer_clock_us() - begin_us;
	begin_us = timer_clock_us();
	for (uint64_t seq = first; seq < link->next_seq; seq++)
		gate_finish(gate, channel, &(struct gate_result){.seq = seq});
	while ((result = gate_next_result(gate, channel, link->result_ack))) {
		if (link_accept_result(link, result->number))
			link_end_start(link, result->seq, &ended);
	}
	report_demand(gate, channel, BATCH_SIZE, link->consumed_total, link->result_ack);
	gate_distribute_credits(gate, &change, 1);
	direction_us[1] += timer_clock_us() - begin_us;
}

static void measure_starts(void)
{
	struct handle channel;
	struct gate *gate = new_gate(BATCH_SIZE, 1, &channel);
	int64_t direction_us[2] = {0};
	struct gate_credit_change change;
	struct link link;

	link_init(&link);
	gate_distribute_credits(gate, &change, 1);
	while (link.next_seq <= START_COUNT)
		transfer_batch(gate, channel, &link, direction_us);
	printf("\"admits_per_s\": %.0f, \"results_per_s\": %.0f",
	       (double)START_COUNT * US_PER_SECOND / (double)direction_us[0],
	       (double)START_COUNT * US_PER_SECOND / (double)direction_us[1]);
	link_free(&link);
	gate_free(gate);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void measure_sessions(void)
{
	const struct session_limits session_limits = {US_PER_SECOND, US_PER_SECOND, 1, KEY_COUNT};
	const struct ident body = {{1}};
	size_t bytes_before = heap_bytes();
	struct session_store *store = session_store_new(&session_limits, &body);
	struct session_token token;
	int64_t begin_us;

	session_open(store, 1, 0, &token, NULL);
	begin_us = timer_clock_us();
	for (uint32_t i = 0; i < KEY_COUNT; i++) {
		enum session_key_state state;
		struct handle *job;
		char key[40];

		g_snprintf(key, sizeof(key), "order-2026-12-%08u", i);
		session_register_key(store, 1, key, &body, 0, &state, &job, NULL);
	}
	printf(", \"session_bytes_per_key\": %.1f, \"session_claim_ns\": %.0f",
	       (double)(heap_bytes() - bytes_before) / KEY_COUNT,
	       (double)(timer_clock_us() - begin_us) * 1000 / KEY_COUNT);
	begin_us = timer_clock_us();
	session_close(store, 1, NULL);
	printf(", \"session_close_us\": %" G_GINT64_FORMAT, timer_clock_us() - begin_us);
	session_store_free(store);
}

static void measure_claims(void)
{
	const struct ident own_id = {{1}};
	struct claims *claims = claims_new(&own_id, US_PER_SECOND);
	size_t bytes_before = heap_bytes();
	int64_t apply_us = 0;

	for (uint32_t i = 0; i < KEY_COUNT; i++) {
		struct ident key = ident_digest(&i, sizeof(i));
		int64_t begin_us;
		char *record;

		claims_request(claims, &key);
		if ((i + 1) % CLAIM_BATCH_MAX_KEYS != 0)
			continue;
		begin_us = timer_clock_us();
		record = claims_take_batch(claims);
		claims_apply_record(claims, i, record, strlen(record), 0, NULL, NULL, NULL);
		free(record);
		apply_us += timer_clock_us() - begin_us;
	}
	printf(", \"claim_bytes\": %.1f, \"claim_append_and_fold_ns\": %.0f",
	       (double)(heap_bytes() - bytes_before) / KEY_COUNT,
	       (double)apply_us * 1000 / KEY_COUNT);
	claims_free(claims);
}

/* Measures the time to distribute one free slot while every entry has demand, the usual case under
 * load. */
static void measure_distribute(uint32_t entries)
{
	struct handle channels[100];
	uint64_t consumed[100] = {0};
	struct gate *gate = new_gate(1, entries, channels);
	struct gate_credit_change change;
	int64_t elapsed_us = 0;

	for (uint32_t i = 0; i < entries; i++)
		report_demand(gate, channels[i], 1000 + i, 0, 0);
	for (uint32_t i = 0; i < DISTRIBUTION_COUNT; i += DISTRIBUTION_ROUND) {
		for (uint32_t j = 0; j < DISTRIBUTION_ROUND; j++) {
			int64_t begin_us = timer_clock_us();
			uint32_t index = 0;

			if (gate_distribute_credits(gate, &change, 1) == 0)
				g_error("no credit was granted");
			elapsed_us += timer_clock_us() - begin_us;
			while (!handle_equal(channels[index], change.channel))
				index++;
			report_demand(gate, channels[index], 1000 + index, ++consumed[index], 0);
		}
	}
	printf(", \"distribute_ns_%u\": %.0f", entries,
	       (double)elapsed_us * 1000 / DISTRIBUTION_COUNT);
	gate_free(gate);
}

int main(void)
{
	static const uint32_t entries[] = {1, 3, 10, 30, 100};

	printf("{");
	measure_starts();
	measure_sessions();
	measure_claims();
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
		measure_distribute(entries[i]);
	printf("}\n");
	return 0;
}
