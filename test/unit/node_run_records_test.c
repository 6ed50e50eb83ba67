/* Tests what an entry takes from others of the runs that they have ordered. Guards against a task
 * that is started while a run goes on which only a lost entry knew of, and against tasks that are
 * held for runs that were settled. */
#include "event.h"
#include "node_run_records.h"

enum {
	HOLD_US = 835 * US_PER_MS,
	HOST_RETURN_US = 60 * US_PER_SECOND,
	AGENT = 7, /* first byte of its incarnation */
	NEXT_AGENT
};

struct fixture {
	struct node_entry entry;
	struct run_records *records; /* of the sender, or NULL while its link is down */
};

static const struct ident sender = {.bytes = {2}};

static void connect_sender(struct fixture *fixture)
{
	fixture->records = run_records_new(&fixture->entry, &sender);
}

static void lose_sender(struct fixture *fixture)
{
	run_records_abandon(fixture->records);
	fixture->records = NULL;
}

static void set_up(struct fixture *fixture, const void *unused)
{
	const struct dispatch_limits limits = {.hold_timeout_us = HOLD_US,
					       .host_return_us = HOST_RETURN_US};
	const struct dispatch_callbacks callbacks = {.context = fixture};

	dispatch_init(&fixture->entry.dispatch, &limits, &callbacks, 1);
	fixture->entry.loop.now_us = US_PER_SECOND;
	fixture->entry.agents = g_ptr_array_new();
	connect_sender(fixture);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	if (fixture->records)
		lose_sender(fixture);
	g_ptr_array_free(fixture->entry.agents, TRUE);
	dispatch_free(&fixture->entry.dispatch);
}

/* The sender tells of the task INDEX of job "a", ordered from an agent or settled if AGENT is 0. */
static void tell(struct fixture *fixture, uint8_t agent, uint32_t index, bool replace)
{
	uint8_t incarnation[IDENT_BYTES] = {agent};
	Ggd__RunRecords message = GGD__RUN_RECORDS__INIT;
	Ggd__RunRecord record = GGD__RUN_RECORD__INIT;
	Ggd__RunRecord *records[] = {&record};

	record.job = (char *)"a";
	record.indexes = &index;
	record.n_indexes = 1;
	record.agent_name = (char *)"agent";
	record.server = (char *)"i-1";
	if (agent > 0) {
		record.agent.data = incarnation;
		record.agent.len = IDENT_BYTES;
	}
	message.replace = replace;
	message.records = records;
	message.n_records = G_N_ELEMENTS(records);
	run_records_apply(fixture->records, &message);
}

static bool is_held(const struct fixture *fixture, uint32_t index)
{
	return task_holds_contains(&fixture->entry.dispatch.holds, "a", index);
}

static void test_sender_lost(struct fixture *fixture, const void *unused)
{
	tell(fixture, AGENT, 0, false);
	tell(fixture, AGENT, 1, false);
	tell(fixture, NEXT_AGENT, 2, false);
	g_assert_false(is_held(fixture, 0));
	lose_sender(fixture);
	for (uint32_t i = 0; i < 3; i++)
		g_assert_true(is_held(fixture, i));
	g_assert_false(is_held(fixture, 3));
}

static void test_settled(struct fixture *fixture, const void *unused)
{
	tell(fixture, AGENT, 0, false);
	tell(fixture, AGENT, 1, false);
	tell(fixture, 0, 0, false);
	tell(fixture, 0, 5, false);
	lose_sender(fixture);
	g_assert_false(is_held(fixture, 0));
	g_assert_true(is_held(fixture, 1));
}

static void test_ordered_again(struct fixture *fixture, const void *unused)
{
	tell(fixture, AGENT, 0, false);
	tell(fixture, NEXT_AGENT, 0, false);
	tell(fixture, 0, 0, false);
	lose_sender(fixture);
	g_assert_false(is_held(fixture, 0));
}

static void test_replaced(struct fixture *fixture, const void *unused)
{
	tell(fixture, AGENT, 0, false);
	tell(fixture, AGENT, 1, true);
	lose_sender(fixture);
	g_assert_false(is_held(fixture, 0));
	g_assert_true(is_held(fixture, 1));
}

/* A host that has not been heard for so long has been removed. */
static void test_limit(struct fixture *fixture, const void *unused)
{
	struct task_holds *holds = &fixture->entry.dispatch.holds;

	tell(fixture, AGENT, 0, false);
	lose_sender(fixture);
	task_holds_expire(holds, US_PER_SECOND + HOST_RETURN_US);
	g_assert_true(is_held(fixture, 0));
	task_holds_expire(holds, US_PER_SECOND + HOST_RETURN_US + 1);
	g_assert_false(is_held(fixture, 0));
}

/* Odd messages of another entry: no agent, an agent with a short incarnation, no tasks. */
static void test_odd_records(struct fixture *fixture, const void *unused)
{
	uint8_t incarnation[IDENT_BYTES] = {AGENT};
	uint32_t index = 0;
	Ggd__RunRecord record = GGD__RUN_RECORD__INIT;
	Ggd__RunRecord *records[] = {&record};
	Ggd__RunRecords message = GGD__RUN_RECORDS__INIT;

	message.records = records;
	message.n_records = G_N_ELEMENTS(records);
	record.agent.data = incarnation;
	record.agent.len = IDENT_BYTES;
	run_records_apply(fixture->records, &message);
	record.indexes = &index;
	record.n_indexes = 1;
	record.agent.len = 3;
	run_records_apply(fixture->records, &message);
	record.agent.len = IDENT_BYTES;
	run_records_apply(fixture->records, &message);
	lose_sender(fixture);
	g_assert_false(is_held(fixture, 0));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	event_init("node_run_records_test", "error");
#define CASE(name)                                                                                 \
	g_test_add("/node_run_records/" #name, struct fixture, NULL, set_up, test_##name, tear_down)
	CASE(sender_lost);
	CASE(settled);
	CASE(ordered_again);
	CASE(replaced);
	CASE(limit);
	CASE(odd_records);
	return g_test_run();
}
