/* Tests what an agent does with the runs of entries that it does not hear from. */
#include "agent_owners.h"
#include "event.h"

enum {
	SILENCE_TIMEOUT_US = 575 * US_PER_MS,
	STOP_WAIT_US = 60 * US_PER_MS,
	HEARTBEAT_US = 150 * US_PER_MS,
	DRIFT_US = SILENCE_TIMEOUT_US / 40, /* of the clocks, in that time */
	TIME_LIMIT_MS = 10000,
	OWNER_CLOCK_US = 600 * US_PER_SECOND, /* ahead of that of the agent */
	TASK_CPU = 1000,
	RUNS = 2
};

struct fixture {
	struct net_loop loop; /* only its time is used */
	struct backend backend;
	struct owners owners;
	struct owner *owner;
	uint32_t starts;
	struct handle started;	       /* the run that was ordered last */
	Ggd__Evacuations *evacuations; /* sent with the next orders of runs, or NULL */
};

bool backend_ready(const struct backend *backend)
{
	return true;
}

uint32_t backend_count_ownerless_runs(const struct backend *backend)
{
	return backend->runs.ownerless_runs;
}

static void order_start(void *context, struct handle run)
{
	struct fixture *fixture = context;

	fixture->starts++;
	fixture->started = run;
}

static void order_stop(void *context, const char *task, uint32_t attempt, struct handle run)
{
}

static void request_lists(void *context)
{
}

static void on_run_ended(void *context, const struct run *run, enum run_outcome outcome,
			 int64_t elapsed_us)
{
	struct fixture *fixture = context;

	owner_add_end(owners_find(&fixture->owners, run->owner), run, outcome, elapsed_us);
}

static void on_run_held(void *context, const struct run *run, int64_t waited_us)
{
}

static void on_owner_removed(void *context, struct owner *owner)
{
}

/* Handles ORDERS that the owner sent AGE_US before. */
static bool handle_late_orders(struct fixture *fixture, const Ggd__Orders *orders, int64_t age_us)
{
	int64_t now_us = fixture->loop.now_us + fixture->loop.suspended_us;

	return owners_handle_orders(&fixture->owners, fixture->owner, orders,
				    &(struct message_times){
					    .sent_us = now_us + OWNER_CLOCK_US - age_us,
					    .received_us = now_us,
				    },
				    "entry");
}

static bool handle_orders(struct fixture *fixture, const Ggd__Orders *orders)
{
	return handle_late_orders(fixture, orders, 0);
}

/* Orders COUNT of RUNS runs that begin at FIRST, and stops one if STOPPED is not NULL. */
static void order_runs(struct fixture *fixture, uint64_t first, uint32_t count, uint64_t *stopped)
{
	Ggd__Orders orders = GGD__ORDERS__INIT;
	Ggd__StartBatch batch = GGD__START_BATCH__INIT;
	Ggd__StartBatch *batches[] = {&batch};
	uint64_t runs[RUNS] = {first, first + 1};
	uint32_t indexes[RUNS] = {(uint32_t)first, (uint32_t)first + 1};
	uint32_t attempts[RUNS] = {1, 1};

	batch.job = (char *)"0000000000000001";
	batch.cpu = TASK_CPU;
	batch.start_within_ms = TIME_LIMIT_MS;
	batch.runs = runs;
	batch.indexes = indexes;
	batch.attempts = attempts;
	batch.n_runs = batch.n_indexes = batch.n_attempts = count;
	orders.session = fixture->owner->number;
	orders.number = fixture->owner->orders_ack + 1;
	orders.starts = batches;
	orders.n_starts = 1;
	orders.stops = stopped;
	orders.n_stops = stopped != NULL;
	orders.evacuations = fixture->evacuations;
	g_assert_true(handle_orders(fixture, &orders));
	/* Only one run has room. */
	g_assert_cmpuint(fixture->starts, ==, 1);
}

static void advance(struct fixture *fixture, int64_t time_us)
{
	fixture->loop.now_us += time_us;
	fixture->loop.input_since_us = fixture->loop.now_us + fixture->loop.suspended_us;
}

static void set_up(struct fixture *fixture, const void *unused)
{
	const struct runs_limits limits = {
		.stop_retry_us = SILENCE_TIMEOUT_US,
		.lease_us = SILENCE_TIMEOUT_US,
		.health = {.fail_streak = 4, .first_backoff_us = 1, .longest_backoff_us = 1},
		.waiting_permille = 100,
		.trial_us = US_PER_SECOND,
	};
	const struct runs_callbacks callbacks = {
		.context = fixture,
		.order_start = order_start,
		.order_stop = order_stop,
		.request_lists = request_lists,
		.run_ended = on_run_ended,
		.run_held = on_run_held,
	};
	struct ident incarnation = ident_random();

	advance(fixture, US_PER_SECOND);
	fixture->backend.loop = &fixture->loop;
	runs_init(&fixture->backend.runs, &limits, &callbacks);
	runs_server_present(&fixture->backend.runs, &(struct resources){.cpu = TASK_CPU}, false);
	fixture->owners = (struct owners){
		.backend = &fixture->backend,
		.silence_timeout_us = SILENCE_TIMEOUT_US,
		.stop_wait_us = STOP_WAIT_US,
		.zone = "zone-1",
		.removed = on_owner_removed,
		.context = fixture,
	};
	owners_init(&fixture->owners);
	fixture->owner = owners_find_or_add(&fixture->owners, &incarnation);
	order_runs(fixture, 1, RUNS, NULL);
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	owners_remove(&fixture->owners, fixture->owner);
	g_ptr_array_free(fixture->owners.list, TRUE);
	evacuations_free(&fixture->owners.evacuations);
	runs_free(&fixture->backend.runs);
}

/* Makes room for the run that waits. */
static void end_first_run(struct fixture *fixture)
{
	runs_start_answered(&fixture->backend.runs, fixture->started, START_UNHEALTHY,
			    fixture->loop.now_us);
	runs_start_waiting(&fixture->backend.runs, fixture->loop.now_us);
}

/* Guards against a stop that an entry repeats after its connection was lost, and that gets the time
 * of a new one: the client has lost its answer since the stop was first sent. */
static void test_stop_delayed_by_lost_link(struct fixture *fixture, const void *unused)
{
	int64_t confirmed_us = fixture->loop.now_us;
	uint64_t run = 1;
	Ggd__Orders orders = GGD__ORDERS__INIT;

	fixture->backend.runs.limits.stop_wait_us = SILENCE_TIMEOUT_US;
	runs_start_answered(&fixture->backend.runs, fixture->started, START_STARTED, confirmed_us);
	advance(fixture, SILENCE_TIMEOUT_US - 1);
	orders.session = fixture->owner->number;
	orders.stops = &run;
	orders.n_stops = 1;
	g_assert_true(handle_orders(fixture, &orders));
	g_assert_true(runs_may_lease(&fixture->backend.runs, fixture->loop.now_us));
	g_assert_false(runs_may_lease(&fixture->backend.runs,
				      confirmed_us + SILENCE_TIMEOUT_US + STOP_WAIT_US));
}

/* Guards against leases for the runs of an entry that its clients have lost, and that says so: they
 * have waited for the silence timeout already. */
static void test_abandon_order(struct fixture *fixture, const void *unused)
{
	int64_t now_us = fixture->loop.now_us;
	Ggd__Orders orders = GGD__ORDERS__INIT;

	fixture->backend.runs.limits.stop_wait_us = SILENCE_TIMEOUT_US;
	runs_start_answered(&fixture->backend.runs, fixture->started, START_STARTED, now_us);
	orders.session = fixture->owner->number;
	orders.abandon = true;
	g_assert_true(handle_orders(fixture, &orders));
	g_assert_true(runs_may_lease(&fixture->backend.runs, now_us));
	g_assert_false(runs_may_lease(&fixture->backend.runs, now_us + STOP_WAIT_US));
}

/* The same order from another session names none of these runs. */
static void test_abandon_order_of_other_session(struct fixture *fixture, const void *unused)
{
	int64_t now_us = fixture->loop.now_us;
	Ggd__Orders orders = GGD__ORDERS__INIT;

	runs_start_answered(&fixture->backend.runs, fixture->started, START_STARTED, now_us);
	orders.session = fixture->owner->number + 1;
	orders.abandon = true;
	g_assert_true(handle_orders(fixture, &orders));
	g_assert_true(runs_may_lease(&fixture->backend.runs, now_us + STOP_WAIT_US));
}

/* Guards against the start of a run whose entry has not been heard from for so long that it may
 * have ordered the task elsewhere. */
static void test_silent_owner(struct fixture *fixture, const void *unused)
{
	advance(fixture, SILENCE_TIMEOUT_US + 1);
	owners_abandon_silent(&fixture->owners);
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 1);
	g_assert_true(owner_has_unacknowledged_ends(fixture->owner));
}

/* The same when the host was suspended meanwhile, which the clock of the loop does not count. */
static void test_suspended(struct fixture *fixture, const void *unused)
{
	fixture->loop.suspended_us += SILENCE_TIMEOUT_US + 1;
	owners_abandon_silent(&fixture->owners);
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 1);
}

/* A suspension that is too short for the entry to give the agent up must not cost its runs. */
static void test_suspended_briefly(struct fixture *fixture, const void *unused)
{
	fixture->loop.suspended_us += SILENCE_TIMEOUT_US / 2;
	owners_abandon_silent(&fixture->owners);
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 2);
}

/* Guards against the loss of the ends of an entry's runs while it may return for them, and against
 * ends that are kept for good. */
static void test_retention(struct fixture *fixture, const void *unused)
{
	advance(fixture, SILENCE_TIMEOUT_US + 1);
	owners_abandon_silent(&fixture->owners);
	g_assert_cmpuint(fixture->owners.list->len, ==, 1);
	advance(fixture, 10 * US_PER_SECOND);
	owners_abandon_silent(&fixture->owners);
	g_assert_cmpuint(fixture->owners.list->len, ==, 0);
	g_assert_cmpuint(fixture->backend.runs.ownerless_runs, ==, 1);
	fixture->owner = owners_find_or_add(&fixture->owners, &(struct ident){{1}});
	g_assert_cmpuint(fixture->owner->number, ==, 2);
}

/* Guards against a run that goes on although the same orders start and stop it, as its job ended in
 * the turn in which it was placed. */
static void test_started_and_stopped(struct fixture *fixture, const void *unused)
{
	uint64_t waiting = 2, run = 3;

	runs_stop(&fixture->backend.runs, fixture->owner->number, waiting, fixture->loop.now_us);
	order_runs(fixture, run, 1, &run);
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 1);
}

/* Orders of another session must not be carried out: their runs were settled with it. */
static void test_orders_of_other_session(struct fixture *fixture, const void *unused)
{
	Ggd__Orders orders = GGD__ORDERS__INIT;
	uint64_t run = 2;

	orders.session = fixture->owner->number + 1;
	orders.stops = &run;
	orders.n_stops = 1;
	g_assert_false(handle_orders(fixture, &orders));
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 2);
}

/* A heartbeat of an entry that has not received the inventory on this connection must not count as
 * a sign that it knows the runs. */
static void test_unconfirmed_heartbeat(struct fixture *fixture, const void *unused)
{
	Ggd__Orders heartbeat = GGD__ORDERS__INIT;

	advance(fixture, SILENCE_TIMEOUT_US + 1);
	g_assert_true(handle_orders(fixture, &heartbeat));
	owners_abandon_silent(&fixture->owners);
	g_assert_true(fixture->owner->abandoned);
	heartbeat.session = fixture->owner->number;
	g_assert_true(handle_orders(fixture, &heartbeat));
	g_assert_false(fixture->owner->abandoned);
}

/* Guards against a message that waits while this process does not run, and is taken for a sign that
 * its owner is there now. */
static void test_message_read_late(struct fixture *fixture, const void *unused)
{
	Ggd__Orders heartbeat = GGD__ORDERS__INIT;

	heartbeat.session = fixture->owner->number;
	fixture->loop.now_us += SILENCE_TIMEOUT_US / 2;
	g_assert_true(handle_orders(fixture, &heartbeat));
	fixture->loop.now_us += SILENCE_TIMEOUT_US / 2 + 2;
	owners_abandon_silent(&fixture->owners);
	g_assert_true(fixture->owner->abandoned);
}

/* Handles a heartbeat that the owner sent AGE_US before. */
static void send_heartbeat(struct fixture *fixture, int64_t age_us)
{
	Ggd__Orders heartbeat = GGD__ORDERS__INIT;

	heartbeat.session = fixture->owner->number;
	g_assert_true(handle_late_orders(fixture, &heartbeat, age_us));
}

/* Guards against the last message of an entry that has ended, which is held up in the network and
 * taken for a sign that its sender is there now. */
static void test_message_delayed(struct fixture *fixture, const void *unused)
{
	advance(fixture, HEARTBEAT_US);
	send_heartbeat(fixture, 0);
	advance(fixture, SILENCE_TIMEOUT_US - HEARTBEAT_US);
	send_heartbeat(fixture, SILENCE_TIMEOUT_US - 2 * HEARTBEAT_US);
	advance(fixture, 2 * HEARTBEAT_US - DRIFT_US);
	owners_abandon_silent(&fixture->owners);
	g_assert_false(fixture->owner->abandoned);
	advance(fixture, 2 * DRIFT_US);
	owners_abandon_silent(&fixture->owners);
	g_assert_true(fixture->owner->abandoned);
}

/* An entry on a path that delays each message must not lose its runs. */
static void test_messages_delayed_alike(struct fixture *fixture, const void *unused)
{
	for (int i = 0; i < 40; i++) {
		send_heartbeat(fixture, SILENCE_TIMEOUT_US - HEARTBEAT_US - 2 * DRIFT_US);
		advance(fixture, HEARTBEAT_US);
		owners_abandon_silent(&fixture->owners);
		g_assert_false(fixture->owner->abandoned);
	}
}

/* Guards against the start of a run that was ordered so long ago that its entry may have given it
 * up since. */
static void test_start_delayed(struct fixture *fixture, const void *unused)
{
	Ggd__Orders orders = GGD__ORDERS__INIT;
	Ggd__StartBatch batch = GGD__START_BATCH__INIT;
	Ggd__StartBatch *batches[] = {&batch};

	orders.session = fixture->owner->number;
	orders.number = fixture->owner->orders_ack + 1;
	orders.starts = batches;
	orders.n_starts = 1;
	advance(fixture, SILENCE_TIMEOUT_US + 2 * DRIFT_US);
	g_assert_false(handle_late_orders(fixture, &orders, SILENCE_TIMEOUT_US + 2 * DRIFT_US));
	owners_abandon_silent(&fixture->owners);
	g_assert_true(fixture->owner->abandoned);
	g_assert_true(handle_late_orders(fixture, &orders, 0));
	g_assert_false(fixture->owner->abandoned);
}

/* An entry of an earlier release names no times: its messages count from their arrival. */
static void test_time_unknown(struct fixture *fixture, const void *unused)
{
	Ggd__Orders heartbeat = GGD__ORDERS__INIT;
	struct message_times times = {0};

	heartbeat.session = fixture->owner->number;
	for (int i = 0; i < 10; i++) {
		advance(fixture, HEARTBEAT_US);
		times.received_us = fixture->loop.now_us;
		g_assert_true(owners_handle_orders(&fixture->owners, fixture->owner, &heartbeat,
						   &times, "entry"));
		owners_abandon_silent(&fixture->owners);
		g_assert_false(fixture->owner->abandoned);
	}
}

/* Names the only evacuated zone, or none if it is NULL, as of VERSION. */
static void order_evacuation(struct fixture *fixture, uint64_t version, const char *zone)
{
	Ggd__Orders orders = GGD__ORDERS__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;

	evacuations.version = version;
	evacuations.zones = (char **)&zone;
	evacuations.n_zones = zone != NULL;
	orders.session = fixture->owner->number;
	orders.evacuations = &evacuations;
	g_assert_true(handle_orders(fixture, &orders));
}

/* Guards against a start in an evacuated zone: one that waits at the agent, one that is ordered
 * later, one after a message that another entry had sent before it learned of the record, and one
 * that comes with the evacuation. */
static void test_evacuated(struct fixture *fixture, const void *unused)
{
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;
	char *zone = (char *)"zone-1";

	order_evacuation(fixture, 5, "zone-2");
	g_assert_false(fixture->backend.runs.evacuated);
	order_evacuation(fixture, 6, "zone-1");
	g_assert_true(fixture->backend.runs.evacuated);
	end_first_run(fixture);
	g_assert_cmpuint(fixture->starts, ==, 1);
	order_runs(fixture, RUNS + 1, RUNS, NULL);
	order_evacuation(fixture, 5, NULL);
	g_assert_true(fixture->backend.runs.evacuated);
	order_runs(fixture, 2 * RUNS + 1, RUNS, NULL);
	order_evacuation(fixture, 7, NULL);
	g_assert_false(fixture->backend.runs.evacuated);
	advance(fixture, RUNS_RETURN_US);
	evacuations.version = 8;
	evacuations.zones = &zone;
	evacuations.n_zones = 1;
	fixture->evacuations = &evacuations;
	order_runs(fixture, 3 * RUNS + 1, RUNS, NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	event_init("agent_owners_test", "error");
#define CASE(name, function)                                                                       \
	g_test_add("/agent_owners/" name, struct fixture, NULL, set_up, function, tear_down)
	CASE("silent_owner", test_silent_owner);
	CASE("message_read_late", test_message_read_late);
	CASE("message_delayed", test_message_delayed);
	CASE("messages_delayed_alike", test_messages_delayed_alike);
	CASE("start_delayed", test_start_delayed);
	CASE("time_unknown", test_time_unknown);
	CASE("suspended", test_suspended);
	CASE("suspended_briefly", test_suspended_briefly);
	CASE("stop_delayed_by_lost_link", test_stop_delayed_by_lost_link);
	CASE("abandon_order", test_abandon_order);
	CASE("abandon_order_of_other_session", test_abandon_order_of_other_session);
	CASE("retention", test_retention);
	CASE("started_and_stopped", test_started_and_stopped);
	CASE("orders_of_other_session", test_orders_of_other_session);
	CASE("unconfirmed_heartbeat", test_unconfirmed_heartbeat);
	CASE("evacuated", test_evacuated);
	return g_test_run();
}
