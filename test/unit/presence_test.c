/* Tests what an agent believes about its server, from sequences of answers and heartbeats. */
#include <glib.h>
#include <string.h>

#include "presence.h"

enum {
	START_MS = 500000, /* start time of the server's process */
	CLOCK_MS = 7000,   /* the server's clock at time 0 */
	CPU = 16000,
	INTERVAL_US = 1500 * US_PER_MS /* between two heartbeats of the server */
};

static struct heartbeat true_heartbeat(int64_t now_us)
{
	return (struct heartbeat){
		.identity = {.id = "i-1",
			     .service = "svc",
			     .zone = "a",
			     .labels = {"r1"},
			     .label_count = 1},
		.capacity = {.cpu = CPU, .memory_mb = 1000},
		.start_time_ms = START_MS,
		.clock_ms = CLOCK_MS + now_us / US_PER_MS,
		.sequence = (uint64_t)(now_us / INTERVAL_US) + 1,
		.received_us = now_us,
	};
}

static enum answer_origin answer(struct presence *presence, int64_t start_time_ms,
				 uint64_t connection, int64_t now_us)
{
	return presence_on_answer(presence, &(struct server_answer){
						    .start_time_ms = start_time_ms,
						    .clock_ms = CLOCK_MS + now_us / US_PER_MS,
						    .connection = connection,
						    .received_us = now_us,
					    });
}

static enum heartbeat_verdict send_heartbeat(struct presence *presence,
					     const struct heartbeat *heartbeat)
{
	return presence_on_heartbeat(presence, heartbeat, heartbeat->received_us);
}

/* Sends COUNT true heartbeats, the first one at NOW_US. */
static void send_true_heartbeats(struct presence *presence, unsigned count, int64_t now_us)
{
	for (unsigned i = 0; i < count; i++) {
		struct heartbeat heartbeat = true_heartbeat(now_us + i * (int64_t)INTERVAL_US);

		g_assert_cmpint(send_heartbeat(presence, &heartbeat), ==, HEARTBEAT_ACCEPTED);
	}
}

static void set_up(struct presence *presence)
{
	*presence = (struct presence){0};
	g_assert_cmpint(answer(presence, START_MS, 1, 0), ==, ANSWER_NEW_INCARNATION);
	send_true_heartbeats(presence, 1, 0);
}

/* Judges the only unconfirmed heartbeat after an answer to a call made at ASKED_US. */
static enum heartbeat_verdict settle(struct presence *presence, int64_t asked_us)
{
	enum heartbeat_verdict verdict, next;
	struct heartbeat heartbeat;

	if (!presence_next_confirmed(presence, asked_us, asked_us, &heartbeat, &verdict))
		return HEARTBEAT_UNCONFIRMED;
	g_assert_false(presence_next_confirmed(presence, asked_us, asked_us, &heartbeat, &next));
	return verdict;
}

/* Guards against a heartbeat alone that begins a new incarnation, after which the server's own
 * messages count as old. */
static void test_start_time_of_heartbeat(void)
{
	static const int64_t start_times[] = {1, START_MS - 1, START_MS + 3600000, INT64_MAX};

	for (size_t i = 0; i < G_N_ELEMENTS(start_times); i++) {
		struct heartbeat odd = true_heartbeat(1000);
		struct presence presence;

		set_up(&presence);
		odd.start_time_ms = start_times[i];
		g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_UNCONFIRMED);
		g_assert_true(presence_is_known(&presence));
		g_assert_cmpint(answer(&presence, START_MS, 1, 2000), ==, ANSWER_CURRENT);
		g_assert_cmpint(settle(&presence, 2000), ==, HEARTBEAT_OTHER_INCARNATION);
		send_true_heartbeats(&presence, 2, INTERVAL_US);
	}
}

/* Guards against an answer to a call made before a heartbeat arrived that rejects the heartbeat:
 * the server may have restarted between the two. */
static void test_restart(void)
{
	struct presence presence;
	struct heartbeat first = true_heartbeat(5000);

	set_up(&presence);
	first.start_time_ms = START_MS + 10;
	first.sequence = 1;
	g_assert_cmpint(send_heartbeat(&presence, &first), ==, HEARTBEAT_UNCONFIRMED);
	answer(&presence, START_MS, 1, 5000);
	g_assert_cmpint(settle(&presence, 4000), ==, HEARTBEAT_UNCONFIRMED);
	g_assert_cmpint(answer(&presence, START_MS + 10, 2, 6000), ==, ANSWER_NEW_INCARNATION);
	g_assert_false(presence_is_known(&presence));
	g_assert_cmpint(settle(&presence, 5500), ==, HEARTBEAT_ACCEPTED);
	g_assert_true(presence_is_known(&presence));
	/* An answer of the old process arrives last. */
	g_assert_cmpint(answer(&presence, START_MS, 1, 7000), ==, ANSWER_OLD);
}

/* The time of day was set back while the server restarted. Guards against a server that is ignored
 * for good because its start time is lower than before. */
static void test_start_time_goes_back(void)
{
	struct presence presence;

	set_up(&presence);
	g_assert_cmpint(answer(&presence, START_MS - 5000, 2, 2000), ==, ANSWER_NEW_INCARNATION);
	g_assert_cmpint(answer(&presence, START_MS, 1, 3000), ==, ANSWER_OLD);
	g_assert_cmpint(answer(&presence, START_MS - 5000, 2, 4000), ==, ANSWER_CURRENT);
}

/* Guards against an answer that contradicts earlier ones on its connection and ends the
 * incarnation, and against an answer without a start time, possibly of an old process, that sets
 * the clock. */
static void test_odd_answers(void)
{
	struct presence presence;

	set_up(&presence);
	g_assert_cmpint(answer(&presence, INT64_MAX, 1, 1000), ==, ANSWER_CONTRADICTS);
	g_assert_cmpint(answer(&presence, START_MS, 1, 2000), ==, ANSWER_CURRENT);
	g_assert_true(presence_is_known(&presence));
	g_assert_cmpint(answer(&presence, 0, 5, 1000000), ==, ANSWER_CURRENT);
	g_assert_cmpint(presence.clock_received_us, ==, 2000);
	g_assert_cmpint(answer(&presence, START_MS + 1, 2, 3000000), ==, ANSWER_NEW_INCARNATION);
}

/* Guards against a heartbeat of another writer, with a clock that leads a little, that hides the
 * server's own one which says that it drains. */
static void test_notice_behind_clock(void)
{
	struct heartbeat odd = true_heartbeat(INTERVAL_US - 50000);
	struct heartbeat heartbeat = true_heartbeat(INTERVAL_US);
	struct presence presence;

	set_up(&presence);
	odd.clock_ms += 190;
	g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_ACCEPTED);
	heartbeat.draining = true;
	g_assert_cmpint(send_heartbeat(&presence, &heartbeat), ==, HEARTBEAT_ACCEPTED);
	g_assert_true(presence.leaving);
}

/* Guards against a rejected id of an earlier process that takes the server out of use, and against
 * a rejected id that makes the next heartbeat alone add resources or end a drain. */
static void test_id_rejected(void)
{
	struct heartbeat heartbeat = true_heartbeat(INTERVAL_US);
	struct presence presence;

	set_up(&presence);
	g_assert_false(presence_on_id_rejected(&presence, "i-0"));
	g_assert_true(presence_is_known(&presence));
	g_assert_true(presence_on_id_rejected(&presence, "i-1"));
	g_assert_false(presence_is_known(&presence));
	g_strlcpy(heartbeat.identity.id, "i-2", NAME_BYTES);
	heartbeat.capacity.cpu = UINT32_MAX;
	g_assert_cmpint(send_heartbeat(&presence, &heartbeat), ==, HEARTBEAT_ACCEPTED);
	g_assert_true(presence_is_known(&presence));
	g_assert_cmpstr(presence.identity.id, ==, "i-2");
	g_assert_cmpuint(presence.resources.cpu, ==, CPU);
}

/* Guards against a number far ahead in one heartbeat that makes all later ones count as old. */
static void test_numbers_far_ahead(void)
{
	struct heartbeat odd = true_heartbeat(1000);
	struct presence presence;

	set_up(&presence);
	odd.sequence = UINT64_MAX;
	g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_ACCEPTED);
	odd = true_heartbeat(2000);
	odd.clock_ms = INT64_MAX;
	g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_UNCONFIRMED);
	answer(&presence, START_MS, 1, 3000);
	g_assert_cmpint(settle(&presence, 3000), ==, HEARTBEAT_CLOCK_AHEAD);
	send_true_heartbeats(&presence, 2, INTERVAL_US);
	g_assert_cmpint(presence.last.sequence, ==, 3);
}

/* A process or its host stood still, so the server's clock is ahead of what the agent expects.
 * Guards against true heartbeats that are refused until the next one. */
static void test_clock_after_freeze(void)
{
	struct heartbeat heartbeat = true_heartbeat(INTERVAL_US);
	struct presence presence;

	set_up(&presence);
	heartbeat.clock_ms += 3000;
	g_assert_cmpint(send_heartbeat(&presence, &heartbeat), ==, HEARTBEAT_UNCONFIRMED);
	presence_on_answer(&presence, &(struct server_answer){.start_time_ms = START_MS,
							      .connection = 1,
							      .clock_ms = heartbeat.clock_ms + 1,
							      .received_us = INTERVAL_US + 1000});
	g_assert_cmpint(settle(&presence, INTERVAL_US + 500), ==, HEARTBEAT_ACCEPTED);
}

/* Guards against one heartbeat that takes a draining server into use again, and against a sound
 * server that stays out of use for more than two heartbeats after one said that it drains. */
static void test_draining(void)
{
	struct heartbeat heartbeat = true_heartbeat(1000);
	struct presence presence;

	set_up(&presence);
	heartbeat.draining = true;
	send_heartbeat(&presence, &heartbeat);
	g_assert_true(presence.leaving);
	send_true_heartbeats(&presence, 1, INTERVAL_US);
	g_assert_true(presence.leaving);
	send_true_heartbeats(&presence, 1, 2 * INTERVAL_US);
	g_assert_false(presence.leaving);
}

/* Guards against a deregistration of the process before a restart that takes the new one out of
 * use, and against one heartbeat that takes a deregistered server into use again. */
static void test_deregistration(void)
{
	struct presence presence;

	set_up(&presence);
	g_assert_false(presence_on_deregistration(&presence, "i-1", START_MS - 1));
	g_assert_false(presence_on_deregistration(&presence, "i-2", START_MS));
	g_assert_false(presence.leaving);
	g_assert_true(presence_on_deregistration(&presence, "i-1", 0));
	send_true_heartbeats(&presence, 1, INTERVAL_US);
	g_assert_true(presence.leaving);
}

/* Guards against starts beyond the resources of the server after one wrong heartbeat. */
static void test_resources(void)
{
	struct heartbeat heartbeat = true_heartbeat(1000);
	struct presence presence;

	set_up(&presence);
	heartbeat.capacity.cpu = UINT32_MAX;
	send_heartbeat(&presence, &heartbeat);
	g_assert_cmpuint(presence.resources.cpu, ==, CPU);
	send_true_heartbeats(&presence, 1, INTERVAL_US);
	g_assert_cmpuint(presence.resources.cpu, ==, CPU);
	heartbeat = true_heartbeat(2 * INTERVAL_US);
	heartbeat.capacity.cpu = CPU / 2;
	send_heartbeat(&presence, &heartbeat);
	g_assert_cmpuint(presence.resources.cpu, ==, CPU / 2);
}

/* Guards against one heartbeat that moves the server to another service, zone or id. */
static void test_identity(void)
{
	struct heartbeat odd = true_heartbeat(INTERVAL_US + 1000);
	struct presence presence;
	uint32_t version;

	set_up(&presence);
	send_true_heartbeats(&presence, 1, INTERVAL_US);
	version = presence.identity_version;
	g_strlcpy(odd.identity.service, "other", NAME_BYTES);
	odd.draining = true;
	g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_OTHER_IDENTITY);
	g_assert_true(presence_is_known(&presence));
	g_assert_false(presence.leaving);
	g_assert_cmpuint(presence.identity_version, ==, version);
	g_assert_cmpstr(presence.identity.service, ==, "svc");
}

/* The first heartbeat that an agent sees is wrong. Guards against a wrong identity that stays for
 * the life of the server; the server is not used until two heartbeats agree. */
static void test_wrong_identity_first(void)
{
	struct heartbeat odd = true_heartbeat(0);
	struct heartbeat heartbeat = true_heartbeat(INTERVAL_US);
	struct presence presence = {0};

	answer(&presence, START_MS, 1, 0);
	g_strlcpy(odd.identity.service, "other", NAME_BYTES);
	g_assert_cmpint(send_heartbeat(&presence, &odd), ==, HEARTBEAT_ACCEPTED);
	g_assert_cmpint(send_heartbeat(&presence, &heartbeat), ==, HEARTBEAT_OTHER_IDENTITY);
	g_assert_false(presence_is_known(&presence));
	heartbeat = true_heartbeat(2 * INTERVAL_US);
	g_assert_cmpint(send_heartbeat(&presence, &heartbeat), ==, HEARTBEAT_ACCEPTED);
	g_assert_true(presence_is_known(&presence));
	g_assert_cmpstr(presence.identity.service, ==, "svc");
}

/* Guards against a flood of wrong heartbeats that keeps a true one from being confirmed, and
 * against unconfirmed ones that are kept without a bound. */
static void test_many_unconfirmed(void)
{
	struct heartbeat odd = true_heartbeat(1000);
	struct presence presence = {0};

	odd.start_time_ms = INT64_MAX;
	for (int i = 0; i < 100; i++)
		send_heartbeat(&presence, &odd);
	g_assert_cmpuint(presence.unconfirmed_count, ==, PRESENCE_UNCONFIRMED_MAX);
	answer(&presence, START_MS, 1, 2000);
	send_true_heartbeats(&presence, 1, INTERVAL_US);
	g_assert_true(presence_is_known(&presence));
}

/* Returns a heartbeat as the server would send it at NOW_US, with one field of another value. */
static struct heartbeat draw_odd_heartbeat(int64_t now_us)
{
	static const int64_t numbers[] = {
		0, 1, INT32_MAX, UINT32_MAX, INT64_MAX, START_MS - 1, START_MS + 3600000};
	struct heartbeat odd = true_heartbeat(now_us);
	int64_t number = numbers[g_test_rand_int_range(0, G_N_ELEMENTS(numbers))];

	switch (g_test_rand_int_range(0, 8)) {
	case 0:
		odd.start_time_ms = number;
		break;
	case 1:
		odd.clock_ms = number;
		break;
	case 2:
		odd.sequence = (uint64_t)number;
		break;
	case 3:
		odd.capacity.cpu = (uint32_t)number;
		break;
	case 4:
		odd.draining = true;
		break;
	case 5:
		g_strlcpy(odd.identity.id, "i-2", NAME_BYTES);
		break;
	case 6:
		g_strlcpy(odd.identity.service, "other", NAME_BYTES);
		break;
	default:
		odd.identity.label_count = 0;
		break;
	}
	return odd;
}

/* Another writer posts a heartbeat with one wrong field before one in three of the server's. Guards
 * against a sequence of such heartbeats that does what no single one does: ends the incarnation,
 * adds resources, hides that the server drains, or takes a sound server out of use for more than
 * two of its heartbeats. */
static void test_random_heartbeats(void)
{
	for (int history = 0; history < 2000; history++) {
		int drains_at = g_test_rand_int_range(3, 40);
		struct presence presence;

		set_up(&presence);
		for (int i = 1; i < 40; i++) {
			int64_t now_us = i * (int64_t)INTERVAL_US;
			struct heartbeat heartbeat = true_heartbeat(now_us);

			answer(&presence, START_MS, 1, now_us);
			if (i % 3 == 1) {
				struct heartbeat odd = draw_odd_heartbeat(
					now_us - g_test_rand_int_range(1000, INTERVAL_US / 2));

				send_heartbeat(&presence, &odd);
				answer(&presence, START_MS, 1, now_us);
				settle(&presence, now_us);
			}
			heartbeat.draining = i >= drains_at;
			send_heartbeat(&presence, &heartbeat);
			g_assert_cmpint(presence.start_time_ms, ==, START_MS);
			g_assert_cmpuint(presence.resources.cpu, <=, CPU);
			if (i >= drains_at) {
				g_assert_true(presence.leaving);
			} else if (i % 3 == 0) {
				g_assert_true(presence_is_known(&presence));
				g_assert_false(presence.leaving);
				g_assert_cmpuint(presence.resources.cpu, ==, CPU);
				g_assert_cmpstr(presence.identity.service, ==, "svc");
				g_assert_cmpstr(presence.identity.id, ==, "i-1");
			}
		}
	}
}

/* Guards against leases that are longer than meant at a server with a slow clock that has not
 * answered for long. */
static void test_slow_clock(void)
{
	struct presence presence;

	set_up(&presence);
	/* The server's clock is 2 % slow and has advanced by 9.8 s. */
	g_assert_cmpint(presence_slow_clock_ms(&presence, 20, 10 * US_PER_SECOND), ==,
			CLOCK_MS + 9800);
	g_assert_cmpint(presence_slow_clock_ms(&presence, 20, 0), ==, CLOCK_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/presence/start_time_of_heartbeat", test_start_time_of_heartbeat);
	g_test_add_func("/presence/restart", test_restart);
	g_test_add_func("/presence/start_time_goes_back", test_start_time_goes_back);
	g_test_add_func("/presence/odd_answers", test_odd_answers);
	g_test_add_func("/presence/notice_behind_clock", test_notice_behind_clock);
	g_test_add_func("/presence/id_rejected", test_id_rejected);
	g_test_add_func("/presence/numbers_far_ahead", test_numbers_far_ahead);
	g_test_add_func("/presence/clock_after_freeze", test_clock_after_freeze);
	g_test_add_func("/presence/draining", test_draining);
	g_test_add_func("/presence/deregistration", test_deregistration);
	g_test_add_func("/presence/resources", test_resources);
	g_test_add_func("/presence/identity", test_identity);
	g_test_add_func("/presence/wrong_identity_first", test_wrong_identity_first);
	g_test_add_func("/presence/many_unconfirmed", test_many_unconfirmed);
	g_test_add_func("/presence/random_heartbeats", test_random_heartbeats);
	g_test_add_func("/presence/slow_clock", test_slow_clock);
	return g_test_run();
}
