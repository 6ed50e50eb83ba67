/* Tests what entries tell each other of the runs at agents that they have lost, with the real
 * modules of entries and agents in virtual time. */
#include "event.h"
#include "session_world.h"

enum {
	ENTRIES = 3,
	SERVERS = 2,
	SERVER_CPU = 8000,
	TASK_CPU = 1000,
	WORK_US = 100000,
	JOB_LIFE_US = 8000000,
	SENT_US = 500000,
	ORDERED_US = SENT_US + 40000, /* the agent has sent the start by then */
	TOLD_US = ORDERED_US + 30000, /* the entries have been told by then */
	LATE_US = 100000,
	RETURN_US = ORDERED_US + 500000,  /* the agent returns */
	SETTLED_US = RETURN_US + 500000,  /* and has said what it has found */
	RESENT_US = SETTLED_US + 1000000, /* the end of a job that is sent at SETTLED_US */
	END_US = ORDERED_US + JOB_LIFE_US
};

struct fixture {
	struct world world;
	struct simulation_job *job;
	uint32_t agent; /* at which the start of the job was ordered */
};

/* Sends a job to entry 0, which orders its start. It gets no answer and is carried out late. */
static void set_up(struct fixture *fixture)
{
	struct simulation *sim = &fixture->world.sim;

	*fixture = (struct fixture){0};
	start_world(&fixture->world, 1, ENTRIES, SERVERS, SERVER_CPU);
	fixture->job = simulation_add_job(sim, 1, 1, TASK_CPU, WORK_US);
	fixture->job->deadline_us = SENT_US + JOB_LIFE_US;
	simulation_run_until(sim, SENT_US);
	sim->faults = (struct simulation_faults){.start_lost = 1, .late_grants = true};
	update_clocks(&fixture->world);
	fixture->job->first_sent_us = SENT_US;
	simulation_send_job(sim, fixture->job, 0);
	simulation_run_until(sim, ORDERED_US);
	sim->faults = (struct simulation_faults){.late_grants = true};
	fixture->agent = table_count(&sim->agents[0].backend.runs.table) > 0 ? 0 : 1;
	g_assert_cmpuint(table_count(&sim->agents[fixture->agent].backend.runs.table), ==, 1);
}

static bool is_held_at(struct fixture *fixture, uint32_t entry)
{
	return task_holds_contains(&fixture->world.sim.entries[entry].node.dispatch.holds,
				   fixture->job->id, 0);
}

static bool is_held(struct fixture *fixture)
{
	return is_held_at(fixture, 1);
}

static void send_again(struct fixture *fixture)
{
	update_clocks(&fixture->world);
	simulation_send_job(&fixture->world.sim, fixture->job, 1);
}

/* Guards against a second run of a task whose start only its agent and its entry knew of, when both
 * have ended. */
static void test_agent_and_entry_end(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, TOLD_US);
	kill_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, SETTLED_US);
	send_again(&fixture);
	simulation_run_until(sim, RESENT_US);
	g_assert_true(is_held(&fixture));
	g_assert_false(fixture.job->answered);
	simulation_run_until(sim, END_US);
	g_assert_cmpuint(sim->overlapping_starts, ==, 0);
	free_world(&fixture.world);
}

/* Guards against a second run of such a task by an entry that learns of the agent's end only after
 * it has been told. */
static void test_end_of_agent_noticed_late(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	for (uint32_t i = 1; i < ENTRIES; i++)
		fixture.world.paths[i][fixture.agent].cut_until_us[AT_AGENT] = TOLD_US + LATE_US;
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, TOLD_US);
	kill_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, SETTLED_US);
	send_again(&fixture);
	simulation_run_until(sim, RESENT_US);
	g_assert_true(is_held(&fixture));
	g_assert_false(fixture.job->answered);
	simulation_run_until(sim, END_US);
	g_assert_cmpuint(sim->overlapping_starts, ==, 0);
	free_world(&fixture.world);
}

/* Guards against a second run by an entry that has started after the lost one has told the others.
 */
static void test_next_entry_process(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, TOLD_US);
	kill_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, RETURN_US);
	restart_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, SETTLED_US);
	g_assert_true(is_held_at(&fixture, 0));
	restart_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, RESENT_US);
	g_assert_false(is_held_at(&fixture, 0));
	free_world(&fixture.world);
}

/* Guards against a task that is held although the next process of the agent has settled it. */
static void test_agent_returns(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, TOLD_US);
	g_assert_true(is_held(&fixture));
	kill_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, RETURN_US);
	g_assert_true(is_held(&fixture));
	restart_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, SETTLED_US);
	g_assert_false(is_held(&fixture));
	send_again(&fixture);
	simulation_run_until(sim, RESENT_US);
	g_assert_true(fixture.job->answered);
	g_assert_cmpint(fixture.job->status, ==, STATUS_OK);
	free_world(&fixture.world);
}

/* Guards against a task that is held again, after the next process of the agent has settled it, on
 * the word of an entry that the agent does not serve. */
static void test_agent_returns_to_some(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	fixture.world.paths[2][fixture.agent].refused_until_us = END_US;
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, TOLD_US);
	kill_entry(sim, GUINT_TO_POINTER(0));
	simulation_run_until(sim, RETURN_US);
	restart_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, SETTLED_US);
	g_assert_false(is_held_at(&fixture, 1));
	g_assert_false(is_held_at(&fixture, 2));
	free_world(&fixture.world);
}

/* Guards against a task that stays held although the entry that has ordered it lives and knows that
 * it is settled. */
static void test_entry_settles(void)
{
	struct fixture fixture;
	struct simulation *sim = &fixture.world.sim;

	set_up(&fixture);
	kill_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, RETURN_US);
	g_assert_true(is_held(&fixture));
	restart_agent(sim, GUINT_TO_POINTER(fixture.agent));
	simulation_run_until(sim, SETTLED_US);
	g_assert_false(is_held(&fixture));
	g_assert_true(fixture.job->answered);
	g_assert_cmpint(fixture.job->status, ==, STATUS_OK);
	free_world(&fixture.world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	event_init("lost_agent_test", "error");
	g_test_add_func("/lost_agent/agent_and_entry_end", test_agent_and_entry_end);
	g_test_add_func("/lost_agent/end_of_agent_noticed_late", test_end_of_agent_noticed_late);
	g_test_add_func("/lost_agent/next_entry_process", test_next_entry_process);
	g_test_add_func("/lost_agent/agent_returns", test_agent_returns);
	g_test_add_func("/lost_agent/agent_returns_to_some", test_agent_returns_to_some);
	g_test_add_func("/lost_agent/entry_settles", test_entry_settles);
	return g_test_run();
}
