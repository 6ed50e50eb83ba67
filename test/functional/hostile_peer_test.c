/* Sends random frames to the peer port of an entry in platform mode. Guards against a hostile or
 * broken peer whose messages crash the process or disturb the jobs of clients. */
#include <signal.h>
#include <string.h>

#include "harness_peer.h"

enum {
	CONNECTIONS = 300,
	FRAMES_PER_CONNECTION = 20,
	CONNECTION_INTERVAL_US = 3000, /* between two connections */
	PROTOCOL_VERSION = 2,
	OUT_OF_TURN_INTERVAL = 16, /* reports, on average */
	LIST_CAPACITY = 6
};

static void send_hello(struct peer_conn *conn, GRand *rand, bool as_entry)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Hello hello = GGD__HELLO__INIT;
	uint8_t incarnation[PEER_IDENT_BYTES];

	for (int i = 0; i < PEER_IDENT_BYTES; i++)
		incarnation[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
	hello.incarnation.data = incarnation;
	hello.incarnation.len = PEER_IDENT_BYTES;
	hello.name = (char *)(g_rand_boolean(rand) ? "agent0" : "stranger");
	hello.zone = (char *)"a";
	hello.address = (char *)(as_entry ? "127.0.0.9:1" : "");
	hello.protocol = PROTOCOL_VERSION;
	frame.body_case = GGD__FRAME__BODY_HELLO;
	frame.hello = &hello;
	peer_send(conn, &frame);
}

/* Returns, with equal probability, a number near UINT64_MAX, any number, a number whose upper and
 * lower halves are small and which may be the id of a real run, or a number below 4. */
static uint64_t random_u64(GRand *rand)
{
	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		return UINT64_MAX - (uint64_t)g_rand_int_range(rand, 0, 3);
	case 1:
		return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
	case 2:
		return (uint64_t)g_rand_int_range(rand, 0, 4) << 32 |
		       (uint64_t)g_rand_int_range(rand, 0, 40);
	default:
		return (uint64_t)g_rand_int_range(rand, 0, 4);
	}
}

static uint32_t random_u32(GRand *rand)
{
	return (uint32_t)random_u64(rand);
}

/* Sends a report with random content, which may refer to real runs. */
static void send_report(struct peer_conn *conn, GRand *rand)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Report report = GGD__REPORT__INIT;
	Ggd__Room room = GGD__ROOM__INIT;
	Ggd__Server server = GGD__SERVER__INIT;
	Ggd__Inventory inventory = GGD__INVENTORY__INIT;
	Ggd__RunEnd end = GGD__RUN_END__INIT;
	Ggd__RunEnd *end_list[] = {&end};
	Ggd__Progress late = GGD__PROGRESS__INIT;
	Ggd__Progress *late_list[] = {&late};
	uint64_t runs[LIST_CAPACITY];
	uint32_t waiting[LIST_CAPACITY];

	for (int i = 0; i < LIST_CAPACITY; i++) {
		runs[i] = random_u64(rand);
		waiting[i] = random_u32(rand);
	}
	/* A number out of turn or another session ends the connection, and with it the effect of
	 * what follows. */
	report.number = g_rand_int_range(rand, 0, OUT_OF_TURN_INTERVAL) ? 0 : random_u64(rand);
	report.session = g_rand_int_range(rand, 0, OUT_OF_TURN_INTERVAL) ? 1 : random_u32(rand);
	report.orders_ack = random_u64(rand);
	end.run = random_u64(rand);
	end.outcome = random_u32(rand);
	end.elapsed_ms = random_u32(rand);
	report.ends = end_list;
	report.n_ends = (size_t)g_rand_int_range(rand, 0, 2);
	late.run = random_u64(rand);
	late.percent = random_u32(rand);
	late.elapsed_ms = random_u32(rand);
	report.late = late_list;
	report.n_late = (size_t)g_rand_int_range(rand, 0, 2);
	room.ready = g_rand_boolean(rand);
	room.cpu = random_u32(rand);
	room.memory_mb = random_u32(rand);
	room.speed = random_u32(rand);
	room.samples = random_u32(rand);
	room.unsettled = random_u32(rand);
	room.suspect = g_rand_boolean(rand);
	room.run_ms = random_u32(rand);
	room.waiting_cpu = waiting;
	room.n_waiting_cpu = (size_t)g_rand_int_range(rand, 0, LIST_CAPACITY);
	report.room = g_rand_boolean(rand) ? &room : NULL;
	server.id = (char *)"s";
	server.service = (char *)(g_rand_boolean(rand) ? "svc" : "other");
	server.zone = (char *)"a";
	server.cpu = random_u32(rand);
	report.server = g_rand_boolean(rand) ? &server : NULL;
	inventory.runs = runs;
	inventory.n_runs = (size_t)g_rand_int_range(rand, 0, LIST_CAPACITY);
	report.inventory = g_rand_boolean(rand) ? &inventory : NULL;
	frame.body_case = GGD__FRAME__BODY_REPORT;
	frame.report = &report;
	peer_send(conn, &frame);
}

static void send_peer_state(struct peer_conn *conn, GRand *rand)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;
	uint64_t numbers[LIST_CAPACITY];
	uint32_t counts[LIST_CAPACITY];
	char *names[] = {(char *)"r", (char *)"", (char *)"127.0.0.8:99999"};

	for (int i = 0; i < LIST_CAPACITY; i++) {
		numbers[i] = random_u64(rand);
		counts[i] = random_u32(rand);
	}
	state.config_version = random_u64(rand);
	state.config_wanted = g_rand_boolean(rand);
	state.backlog_core_ms = numbers;
	state.n_backlog_core_ms = (size_t)g_rand_int_range(rand, 0, LIST_CAPACITY);
	state.entries = names;
	state.n_entries = (size_t)g_rand_int_range(rand, 0, 4);
	state.queues = names;
	state.n_queues = (size_t)g_rand_int_range(rand, 0, 4);
	state.queued = counts;
	state.n_queued = (size_t)g_rand_int_range(rand, 0, LIST_CAPACITY);
	frame.body_case = GGD__FRAME__BODY_PEER;
	frame.peer = &state;
	peer_send(conn, &frame);
}

static void send_config(struct peer_conn *conn, GRand *rand)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigDocument document = GGD__CONFIG_DOCUMENT__INIT;
	static const char text[] = "{\"version\":";

	document.version = random_u64(rand);
	document.document.data = (uint8_t *)text;
	document.document.len = (size_t)g_rand_int_range(rand, 0, sizeof(text));
	frame.body_case = GGD__FRAME__BODY_CONFIG;
	frame.config = &document;
	peer_send(conn, &frame);
}

static void send_garbage(struct peer_conn *conn, GRand *rand)
{
	uint8_t bytes[64];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
	peer_send_bytes(conn, bytes, (size_t)g_rand_int_range(rand, 0, sizeof(bytes)));
}

static void send_random_frames(const struct peer_cluster *cluster, GRand *rand)
{
	struct peer_conn conn = peer_connect(cluster);

	if (g_rand_int_range(rand, 0, 10) > 0)
		send_hello(&conn, rand, g_rand_boolean(rand));
	for (int i = 0; i < FRAMES_PER_CONNECTION; i++) {
		switch (g_rand_int_range(rand, 0, 20)) {
		case 0:
			send_garbage(&conn, rand);
			break;
		case 1:
			send_config(&conn, rand);
			break;
		case 2:
		case 3:
		case 4:
		case 5:
			send_peer_state(&conn, rand);
			break;
		default:
			send_report(&conn, rand);
			break;
		}
	}
	peer_close(&conn);
}

struct job_sender {
	struct peer_cluster *cluster;
	unsigned completed;
	gint stop; /* atomic */
};

/* Submits jobs until STOP is set, so that the random frames can refer to real runs. */
static void *send_jobs(void *context)
{
	struct job_sender *sender = context;
	char path[32];

	for (unsigned number = 1; !g_atomic_int_get(&sender->stop); number++) {
		struct harness_reply reply;
		const char *state;

		g_snprintf(path, sizeof(path), "/q/%016x", number);
		reply = harness_call("POST", sender->cluster->client_url, path,
				     "{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{\"count\":3,"
				     "\"cpu\":1000,\"memMb\":64,\"estMs\":100}]}");
		state = json_string_value(json_object_get(reply.body, "state"));
		g_assert_true(reply.status != 200 || g_strcmp0(state, "completed") == 0);
		sender->completed += reply.status == 200;
		harness_reply_clear(&reply);
	}
	return NULL;
}

/* Guards against an entry that crashes, or no longer serves jobs after the hostile peer has
 * disconnected. */
static void test_entry_survives(void)
{
	GRand *rand = g_rand_new_with_seed(g_test_rand_int_range(0, INT32_MAX));
	struct job_sender sender = {0};
	struct peer_cluster cluster;
	GThread *thread;

	peer_cluster_start(&cluster, true, true);
	HARNESS_WAIT(PEER_TIMEOUT_MS, peer_cluster_is_ready(&cluster));
	sender.cluster = &cluster;
	thread = g_thread_new("client", send_jobs, &sender);
	for (int i = 0; i < CONNECTIONS; i++) {
		send_random_frames(&cluster, rand);
		g_usleep(CONNECTION_INTERVAL_US); /* lets some jobs start and end */
	}
	g_atomic_int_set(&sender.stop, 1);
	g_thread_join(thread);
	g_test_message("%u jobs completed meanwhile", sender.completed);
	HARNESS_WAIT(PEER_TIMEOUT_MS,
		     harness_status("POST", cluster.client_url, "/q/00000000ffffffff",
				    "{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{\"count\":1,"
				    "\"cpu\":1000,\"memMb\":64,\"estMs\":100}]}") == 200);
	/* Nothing restarts the entry, so exit status 0 on SIGTERM shows that it never crashed. */
	harness_signal(cluster.entry, SIGTERM);
	g_assert_cmpint(harness_wait_exit(cluster.entry, PEER_TIMEOUT_MS), ==, 0);
	g_rand_free(rand);
	peer_cluster_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hostile_peer/entry_survives", test_entry_survives);
	return g_test_run();
}
