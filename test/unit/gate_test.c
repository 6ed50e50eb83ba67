#include <glib.h>

#include "gate.h"

enum {
	SECOND_US = 1000000,
	ENTRIES = 3,
	DRIFT_US_PER_MINUTE = 6000, /* 100 ppm */
};

/* The entry's clock is ahead of the agent's by this arbitrary constant. */
static const int64_t entry_clock_offset_us = (int64_t)1 << 62;

struct fixture {
	struct gate *gate;
	struct handle channels[ENTRIES];
	uint64_t consumed[ENTRIES];
	struct gate_credit_change changes[ENTRIES];
	uint32_t change_count;
};

static void set_up(struct fixture *f, gconstpointer slots)
{
	const struct gate_limits limits = {.max_start_delay_us = 2 * SECOND_US,
					   .silence_timeout_us = 3 * SECOND_US};

	f->gate = gate_new(&limits);
	gate_set_slots(f->gate, GPOINTER_TO_UINT(slots));
	for (int i = 0; i < ENTRIES; i++) {
		struct ident entry = {{(uint8_t)(i + 1)}};

		f->channels[i] = gate_open_channel(f->gate, &entry, 1, 0);
	}
}

static void tear_down(struct fixture *f, gconstpointer slots)
{
	gate_free(f->gate);
}

/* Receives a message of ENTRY that was sent at SENT_US, by the agent's clock, and arrives at
 * NOW_US. */
static void receive_message(struct fixture *f, int entry, uint64_t demand, int64_t sent_us,
			    int64_t now_us)
{
	struct gate_header header = {.sent_us = sent_us + entry_clock_offset_us,
				     .demand = demand,
				     .consumed = f->consumed[entry]};

	gate_receive_header(f->gate, f->channels[entry], 9, &header, now_us);
}

static enum status admit(struct fixture *f, int entry, uint64_t seq, int64_t sent_us,
			 int64_t now_us)
{
	struct gate_start start = {.seq = seq, .sent_us = sent_us + entry_clock_offset_us};

	f->consumed[entry] = MAX(f->consumed[entry], seq);
	return gate_admit(f->gate, f->channels[entry], &start, now_us);
}

static void finish(struct fixture *f, int entry, uint64_t seq)
{
	struct gate_result result = {.seq = seq};

	gate_finish(f->gate, f->channels[entry], &result);
}

/* Distributes credits and returns the number of credits to reclaim. */
static uint64_t distribute(struct fixture *f)
{
	uint64_t reclaim = 0;

	f->change_count = gate_distribute_credits(f->gate, f->changes, ENTRIES);
	for (uint32_t i = 0; i < f->change_count; i++)
		reclaim += f->changes[i].reclaim;
	return reclaim;
}

static uint64_t granted_total(const struct fixture *f, int entry)
{
	return gate_granted_total(f->gate, f->channels[entry]);
}

/* Guards against wrong delay baselines: a delayed first message must not cause late starts to be
 * admitted, slow clock drift must not cause timely starts to be refused, and an hour without
 * messages must not hide the delay of the next start. */
static void test_start_delay_limit(struct fixture *f, gconstpointer slots)
{
	int64_t now_us = 10 * SECOND_US;

	receive_message(f, 0, 0, now_us - 5 * SECOND_US, now_us);
	distribute(f);
	receive_message(f, 0, 0, now_us, now_us);
	g_assert_cmpint(admit(f, 0, 1, now_us - 3 * SECOND_US, now_us), ==, STATUS_START_LATE);
	for (int minute = 0; minute < 24 * 60; minute++) {
		now_us += 60 * (int64_t)SECOND_US;
		receive_message(f, 0, 0, now_us - minute * DRIFT_US_PER_MINUTE, now_us);
	}
	g_assert_cmpint(admit(f, 0, 2, now_us - 24 * 60 * DRIFT_US_PER_MINUTE, now_us), ==,
			STATUS_OK);
	now_us += 3600 * (int64_t)SECOND_US;
	g_assert_cmpint(
		admit(f, 0, 3, now_us - 24 * 60 * DRIFT_US_PER_MINUTE - 3 * SECOND_US, now_us), ==,
		STATUS_START_LATE);
}

/* Starts lost within a connection must be refused with a result. No Reconcile message asks for them
 * while the connection lasts, so without the result their jobs would wait forever. */
static void test_skipped_starts_are_refused(struct fixture *f, gconstpointer slots)
{
	const struct gate_result *result;

	receive_message(f, 0, 8, 0, 0);
	distribute(f);
	g_assert_cmpint(admit(f, 0, 3, 0, 0), ==, STATUS_OK);
	for (uint64_t seq = 1; seq <= 2; seq++) {
		result = gate_next_result(f->gate, f->channels[0], seq - 1);
		g_assert_true(result && result->seq == seq && result->not_started);
		g_assert_cmpint(admit(f, 0, seq, 0, 0), ==, STATUS_DUPLICATE_START);
	}
	g_assert_cmpint(admit(f, 0, (uint64_t)1 << 60, 0, 0), ==, STATUS_NO_SLOT);
	g_assert_cmpuint(gate_unacknowledged_count(f->gate), ==, 2);
}

/* When the number of slots falls below the admitted starts, slots minus starts must not wrap around
 * to a huge number of free slots. */
static void test_shrinking_slots(struct fixture *f, gconstpointer slots)
{
	receive_message(f, 0, 8, 0, 0);
	distribute(f);
	for (uint64_t seq = 1; seq <= 6; seq++)
		g_assert_cmpint(admit(f, 0, seq, 0, 0), ==, STATUS_OK);
	gate_set_slots(f->gate, 2);
	g_assert_cmpuint(distribute(f), ==, 2);
	g_assert_cmpuint(granted_total(f, 0) + granted_total(f, 1) + granted_total(f, 2), ==, 8);
	g_assert_cmpint(admit(f, 0, 7, 0, 0), ==, STATUS_NO_SLOT);
	for (uint64_t seq = 1; seq <= 6; seq++)
		finish(f, 0, seq);
	f->consumed[0] = 8;
	receive_message(f, 0, 8, 1, 1);
	distribute(f);
	g_assert_cmpuint(granted_total(f, 0), ==, 10);
}

/* In each of ROUNDS rounds, every entry uses all its credits for tasks that finish at once and
 * reports its demand, then credits are distributed. */
static void run_tasks(struct fixture *f, const uint64_t demands[ENTRIES], int rounds)
{
	for (int round = 0; round < rounds; round++) {
		for (int i = 0; i < ENTRIES; i++) {
			uint64_t first = f->consumed[i] + 1;

			for (uint64_t seq = first; seq <= granted_total(f, i); seq++) {
				g_assert_cmpint(admit(f, i, seq, round, round), ==, STATUS_OK);
				finish(f, i, seq);
			}
			receive_message(f, i, demands[i], round, round);
		}
		distribute(f);
	}
}

/* An entry with a long queue must not starve one with a short queue: credits are shared in
 * proportion to demand. */
static void test_shares_follow_demand(struct fixture *f, gconstpointer slots)
{
	static const uint64_t demands[ENTRIES] = {600, 200, 0};
	uint64_t before[ENTRIES];

	run_tasks(f, demands, 10);
	for (int i = 0; i < ENTRIES; i++)
		before[i] = granted_total(f, i);
	run_tasks(f, demands, 100);
	g_assert_cmpuint(granted_total(f, 0) - before[0], >=, 595);
	g_assert_cmpuint(granted_total(f, 0) - before[0], <=, 605);
	g_assert_cmpuint(granted_total(f, 1) - before[1], >=, 195);
	g_assert_cmpuint(granted_total(f, 2) - before[2], ==, 0);
}

/* When there are fewer slots than entries, here a single one, they must rotate among all entries in
 * proportion to demand, or some entries would starve. */
static void test_single_slot_rotates(struct fixture *f, gconstpointer slots)
{
	static const uint64_t demands[ENTRIES] = {600, 200, 200};

	run_tasks(f, demands, 1000);
	g_assert_cmpuint(granted_total(f, 0), >=, 590);
	g_assert_cmpuint(granted_total(f, 0), <=, 610);
	g_assert_cmpuint(granted_total(f, 1), >=, 190);
	g_assert_cmpuint(granted_total(f, 2), >=, 190);
}

/* Under load the credit of a finished task must return to the same entry, together with the result.
 * Granting it to another entry would need a second message for each task and double the
 * traffic. */
static void test_credit_returns_to_entry(struct fixture *f, gconstpointer slots)
{
	for (int i = 0; i < ENTRIES; i++)
		receive_message(f, i, 100, 0, 0);
	distribute(f);
	for (int i = 0; i < ENTRIES; i++) {
		for (uint64_t seq = 1; seq <= 3; seq++)
			g_assert_cmpint(admit(f, i, seq, 0, 0), ==, STATUS_OK);
	}
	for (int i = ENTRIES - 1; i >= 0; i--) {
		finish(f, i, 2);
		distribute(f);
		g_assert_cmpuint(f->change_count, ==, 1);
		g_assert_cmpuint(granted_total(f, i), ==, 4);
	}
}

/* Without demand every entry holds credits for its first tasks. When an entry has demand but no
 * credit, the gate must ask idle entries to return unused credits, and must not ask again while the
 * first reclaim may still be answered. */
static void test_idle_credits_are_reclaimed(struct fixture *f, gconstpointer slots)
{
	for (int i = 0; i < ENTRIES; i++)
		receive_message(f, i, 0, 0, 0);
	g_assert_cmpuint(distribute(f), ==, 0);
	for (int i = 0; i < ENTRIES; i++)
		g_assert_cmpuint(granted_total(f, i), ==, 3);
	for (uint64_t seq = 1; seq <= 3; seq++)
		admit(f, 0, seq, 1, 1);
	receive_message(f, 0, 4, 1, 1);
	g_assert_cmpuint(distribute(f), ==, 4);
	g_assert_cmpuint(f->changes[0].reclaim, ==, 2);
	g_assert_cmpuint(distribute(f), ==, 0);
	f->consumed[1] = 2;
	receive_message(f, 1, 0, 2, 2);
	g_assert_cmpuint(distribute(f), ==, 0);
	g_assert_cmpuint(granted_total(f, 0), ==, 5);
	f->consumed[0] = 5;
	receive_message(f, 0, 2, SECOND_US + 1, SECOND_US + 1);
	g_assert_cmpuint(distribute(f), ==, 0);
	g_assert_cmpuint(granted_total(f, 0), ==, 7);
}

/* A reclaim that is lost must be repeated after a second, or an idle entry would keep its unused
 * credits. */
static void test_lost_reclaim_is_repeated(struct fixture *f, gconstpointer slots)
{
	for (int i = 0; i < ENTRIES; i++)
		receive_message(f, i, 0, 0, 0);
	distribute(f);
	f->consumed[0] = 3;
	for (uint64_t seq = 1; seq <= 3; seq++)
		admit(f, 0, seq, 1, 1);
	receive_message(f, 0, 6, 1, 1);
	g_assert_cmpuint(distribute(f), ==, 6);
	receive_message(f, 0, 6, SECOND_US, SECOND_US);
	g_assert_cmpuint(distribute(f), ==, 0);
	receive_message(f, 0, 6, SECOND_US + 1, SECOND_US + 1);
	g_assert_cmpuint(distribute(f), ==, 6);
}

/* The credits of a failed entry must be granted to others before its channel is closed. When the
 * entry returns, the credits in excess of the slots must be reclaimed. */
static void test_silent_entry(struct fixture *f, gconstpointer slots)
{
	int64_t later_us = 4 * SECOND_US;

	for (int i = 0; i < ENTRIES; i++)
		receive_message(f, i, 0, 0, 0);
	distribute(f);
	receive_message(f, 1, 9, later_us, later_us);
	receive_message(f, 2, 0, later_us, later_us);
	distribute(f);
	g_assert_cmpuint(granted_total(f, 1), ==, 6);
	receive_message(f, 0, 0, later_us, later_us);
	g_assert_cmpuint(distribute(f), ==, 3);
	g_assert_cmpuint(granted_total(f, 0) + granted_total(f, 1) + granted_total(f, 2), ==, 12);
}

int main(int argc, char **argv)
{
	const void *eight_slots = GUINT_TO_POINTER(8);
	const void *nine_slots = GUINT_TO_POINTER(9);

	g_test_init(&argc, &argv, NULL);
#define ADD(path, slots, test)                                                                     \
	g_test_add("/gate/" path, struct fixture, slots, set_up, test, tear_down)
	ADD("start-by", eight_slots, test_start_delay_limit);
	ADD("skipped-starts-are-refused", eight_slots, test_skipped_starts_are_refused);
	ADD("shrinking-slots", eight_slots, test_shrinking_slots);
	ADD("shares-follow-demand", eight_slots, test_shares_follow_demand);
	ADD("single-slot-rotates", GUINT_TO_POINTER(1), test_single_slot_rotates);
	ADD("credit-goes-back", nine_slots, test_credit_returns_to_entry);
	ADD("idle-credits-are-reclaimed", nine_slots, test_idle_credits_are_reclaimed);
	ADD("lost-reclaim-is-repeated", nine_slots, test_lost_reclaim_is_repeated);
	ADD("silent-entry", nine_slots, test_silent_entry);
	return g_test_run();
}
