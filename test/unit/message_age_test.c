/* Tests how old a message counts. Guards against a delayed message that counts as new, and against
 * clocks or peers that make new messages count as old, so that a link is given up. */
#include <glib.h>

#include "message_age.h"

enum {
	US_PER_MS = 1000,
	HEARTBEAT_US = 150 * US_PER_MS,
	DELAY_US = 500,	  /* of a message on an idle network */
	JITTER_US = 1500, /* added to it */
	TIMEOUT_US = 575 * US_PER_MS,
	MAX_ERROR_US = 30 * US_PER_MS, /* a twentieth of the timeout */
	START_US = 5 * 1000 * 1000,
	CLOCK_US = 1000 * 1000 * 1000, /* how far the sender's clock is ahead */
	DRIFT_PERMILLE = 20,
	PERMILLE = 1000,
	HEARTBEATS = 400, /* of one minute */
	RANDOM_MESSAGES = 100000
};

/* A sender whose clock is CLOCK_US ahead at first and gains or loses time. */
struct sender {
	struct message_age age;
	int64_t clock_us;
	int64_t drift_permille;
	int64_t earliest_us;
};

static struct sender new_sender(int64_t drift_permille)
{
	return (struct sender){.clock_us = CLOCK_US, .drift_permille = drift_permille};
}

/* Returns the age of a message that was sent at SENT_US, on the receiver's clock. */
static int64_t age_of(struct sender *sender, int64_t sent_us, int64_t received_us)
{
	return message_age_update(&sender->age,
				  &(struct message_times){
					  .sent_us = sent_us + sender->clock_us +
						     sent_us * sender->drift_permille / PERMILLE,
					  .received_us = received_us,
					  .earliest_us = sender->earliest_us,
				  });
}

/* Sends heartbeats without a delay, and returns when the last one was sent. */
static int64_t send_heartbeats(struct sender *sender, int64_t sent_us, int count)
{
	for (int i = 0; i < count; i++) {
		sent_us += HEARTBEAT_US;
		g_assert_cmpint(age_of(sender, sent_us, sent_us + DELAY_US), ==, 0);
	}
	return sent_us;
}

/* A message that was held up counts from its sending, whichever clock is faster; the error is the
 * drift in the time since the last one. */
static void test_delayed(void)
{
	for (int drift = -DRIFT_PERMILLE; drift <= DRIFT_PERMILLE; drift += DRIFT_PERMILLE) {
		struct sender sender = new_sender(drift);
		int64_t sent_us = send_heartbeats(&sender, START_US, HEARTBEATS);

		for (int64_t delay_us = HEARTBEAT_US; delay_us < TIMEOUT_US;
		     delay_us += HEARTBEAT_US) {
			struct sender copy = sender;
			int64_t age_us = age_of(&copy, sent_us + HEARTBEAT_US,
						sent_us + HEARTBEAT_US + DELAY_US + delay_us);

			g_assert_cmpint(age_us, <=, delay_us);
			g_assert_cmpint(age_us, >=, delay_us - MAX_ERROR_US);
		}
	}
}

/* Messages that wait for a lost one arrive together with it: the last of them is new. */
static void test_delayed_together(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, 10);
	int64_t received_us = sent_us + 3 * (int64_t)HEARTBEAT_US + DELAY_US;

	g_assert_cmpint(age_of(&sender, sent_us + HEARTBEAT_US, received_us), >, HEARTBEAT_US);
	g_assert_cmpint(age_of(&sender, sent_us + 2 * (int64_t)HEARTBEAT_US, received_us), >, 0);
	g_assert_cmpint(age_of(&sender, sent_us + 3 * (int64_t)HEARTBEAT_US, received_us), ==, 0);
}

/* What the network does to new messages adds milliseconds, not more. */
static void test_jitter(void)
{
	struct sender sender = new_sender(-DRIFT_PERMILLE);
	int64_t sent_us = START_US;

	for (int i = 0; i < RANDOM_MESSAGES; i++) {
		int64_t delay_us = DELAY_US + g_test_rand_int_range(0, JITTER_US);
		int64_t age_us = age_of(&sender, sent_us, sent_us + delay_us);

		g_assert_cmpint(age_us, >=, 0);
		g_assert_cmpint(age_us, <, JITTER_US);
		sent_us += g_test_rand_int_range(JITTER_US, HEARTBEAT_US);
	}
}

/* The first message may be late: later ones show it, and count as new. */
static void test_first_is_late(void)
{
	struct sender sender = new_sender(0);

	g_assert_cmpint(age_of(&sender, START_US, START_US + TIMEOUT_US), ==, 0);
	send_heartbeats(&sender, START_US + TIMEOUT_US, HEARTBEATS);
}

/* A longer path must not make messages count as old for good. */
static void test_longer_path(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, HEARTBEATS);
	int64_t age_us = 0;

	for (int i = 0; i < 20; i++) {
		sent_us += HEARTBEAT_US;
		age_us = age_of(&sender, sent_us, sent_us + DELAY_US + TIMEOUT_US);
	}
	g_assert_cmpint(age_us, ==, 0);
}

/* The clock of a sender whose machine stood still, unlike that of the receiver, is behind on the
 * next connection, on which no message can be older than the connection. */
static void test_clock_set_back(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, HEARTBEATS);

	sent_us += 2 * (int64_t)TIMEOUT_US;
	sender.clock_us -= TIMEOUT_US;
	sender.earliest_us = sent_us;
	g_assert_cmpint(age_of(&sender, sent_us + DELAY_US, sent_us + 2 * DELAY_US), <=,
			2 * DELAY_US);
	for (int i = 0; i < HEARTBEATS; i++) {
		sent_us += HEARTBEAT_US;
		g_assert_cmpint(age_of(&sender, sent_us, sent_us + DELAY_US), <=, 2 * DELAY_US);
	}
}

/* The same without a new connection: the clock is trusted again. */
static void test_clock_set_back_on_connection(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, HEARTBEATS);
	int64_t age_us = 0;

	sender.clock_us = 1;
	for (int i = 0; i < 20; i++) {
		sent_us += HEARTBEAT_US;
		age_us = age_of(&sender, sent_us, sent_us + DELAY_US);
	}
	g_assert_cmpint(age_us, ==, 0);
}

/* A new connection to the same process must not make its first message count as new, which was
 * delayed before the connection was lost. */
static void test_connection_keeps_estimate(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, HEARTBEATS);

	sender.earliest_us = sent_us + HEARTBEAT_US;
	g_assert_cmpint(age_of(&sender, sent_us + 2 * (int64_t)HEARTBEAT_US,
			       sent_us + 4 * (int64_t)HEARTBEAT_US),
			>=, 2 * (int64_t)HEARTBEAT_US - MAX_ERROR_US);
}

static void test_unknown(void)
{
	struct sender sender = new_sender(0);
	int64_t sent_us = send_heartbeats(&sender, START_US, 10);
	const struct message_times times = {.received_us = sent_us + TIMEOUT_US};

	g_assert_cmpint(message_age_update(&sender.age, &times), ==, 0);
	send_heartbeats(&sender, sent_us, 10);
}

/* Whatever times a peer names, it must not be heard in the future, and no number overflows. */
static void test_wild_times(void)
{
	static const uint64_t wild[] = {
		0,
		1,
		UINT32_MAX,
		INT64_MAX / US_PER_MS,
		INT64_MAX / 4 / US_PER_MS,
		INT64_MAX / 4 / US_PER_MS + 1,
		INT64_MAX,
		UINT64_MAX,
	};
	struct message_age age = {0};
	struct message_times times = {.received_us = START_US};

	for (int i = 0; i < RANDOM_MESSAGES; i++) {
		uint64_t sent_ms = wild[g_test_rand_int_range(0, G_N_ELEMENTS(wild))];
		int64_t age_us;

		times.sent_us = message_sent_us(sent_ms);
		times.earliest_us = g_test_rand_int_range(0, 2) ? 0 : times.received_us;
		age_us = message_age_update(&age, &times);
		g_assert_cmpint(times.sent_us, >=, 0);
		g_assert_cmpint(age_us, >=, 0);
		g_assert_cmpint(age_us, <=, times.received_us - times.earliest_us);
		times.received_us += g_test_rand_int_range(0, TIMEOUT_US);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define CASE(name) g_test_add_func("/message_age/" #name, test_##name)
	CASE(delayed);
	CASE(delayed_together);
	CASE(jitter);
	CASE(first_is_late);
	CASE(longer_path);
	CASE(clock_set_back);
	CASE(clock_set_back_on_connection);
	CASE(connection_keeps_estimate);
	CASE(unknown);
	CASE(wild_times);
	return g_test_run();
}
