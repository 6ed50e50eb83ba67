/* Sends random frames to the peer port of an entry in platform mode. Guards against a hostile or
 * broken peer whose messages crash the process or disturb the jobs of clients. */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dispatch.pb-c.h"
#include "harness.h"

enum {
	CONNECTIONS = 300,
	FRAMES_PER_CONNECTION = 20,
	CONNECTION_INTERVAL_US = 3000, /* between two connections */
	TIMEOUT_MS = 10000,
	IDENT_BYTES = 16,
	HEADER_BYTES = 4,
	PROTOCOL_VERSION = 1,
	LIST_CAPACITY = 6
};

static const char config_document[] =
	"{\"version\":5,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.2\",\"pathPrefix\":\"/q/\","
	"\"service\":\"svc\",\"priority\":0,\"maxAttempts\":2,\"stretchFactor\":1.6,"
	"\"targetRuntimeMs\":2000,\"timeoutMs\":3000}],\"services\":[],\"limits\":{}}";

struct cluster {
	struct harness *harness;
	struct harness_process *entry;
	int peer_port;
	char *store_url;
	char *client_url;
	char *ready_url;
};

static struct harness_process *spawn_daemon(struct cluster *cluster, const char *name,
					    const char *settings)
{
	char *file = g_strdup_printf("%s/%s.json", cluster->harness->directory, name);
	const char *argv[] = {GG_BUILD_DIR "/packages/greengaged/greengaged", "--settings", file,
			      NULL};
	struct harness_process *process;

	g_assert_true(g_file_set_contents(file, settings, -1, NULL));
	process = harness_spawn(cluster->harness, name, argv);
	g_free(file);
	return process;
}

/* Starts one entry, one agent, its backend server and the configuration store. */
static void start_cluster(struct cluster *cluster)
{
	int store_port = harness_reserve_port();
	int server_port = harness_reserve_port();
	int control_port = harness_reserve_port();
	int client_port = harness_reserve_port();
	int ready_port = harness_reserve_port();
	char *store = g_strdup_printf("127.0.0.1:%d", store_port);
	char *server_addresses =
		g_strdup_printf("127.0.0.1:%d=127.0.0.1:%d", server_port, control_port);
	const char *platform[] = {GG_BUILD_DIR "/test/standin/standin_platform", store,
				  server_addresses, NULL};
	char *settings;

	*cluster = (struct cluster){.harness = harness_new(), .peer_port = harness_reserve_port()};
	cluster->store_url = g_strdup_printf("http://%s", store);
	cluster->client_url = g_strdup_printf("http://127.0.0.2:%d", client_port);
	cluster->ready_url = g_strdup_printf("http://127.0.0.2:%d", ready_port);
	harness_spawn(cluster->harness, "platform", platform);
	HARNESS_WAIT(TIMEOUT_MS,
		     harness_status("GET", cluster->store_url, "/control", NULL) == 200);
	g_assert_cmpint(
		harness_status("POST", cluster->store_url, "/control/config", config_document), ==,
		200);
	settings = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"entry\",\"name\":\"entry0\",\"zone\":\"a\","
		"\"listen\":{\"clients\":\"127.0.0.2:%d\",\"readiness\":\"127.0.0.2:%d\"},"
		"\"peers\":{\"ip\":\"127.0.0.2\",\"port\":%d,\"seeds\":[]},"
		"\"store\":{\"address\":\"%s\"},\"limits\":{\"grace_s\":6.0}}",
		client_port, ready_port, cluster->peer_port, store);
	cluster->entry = spawn_daemon(cluster, "entry0", settings);
	g_free(settings);
	settings = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"agent\",\"name\":\"agent0\",\"zone\":\"a\","
		"\"listen\":{\"control\":\"127.0.0.1:%d\"},"
		"\"peers\":{\"ip\":\"127.0.0.1\",\"port\":%d,\"seeds\":[\"127.0.0.2:1\"]},"
		"\"server\":{\"address\":\"127.0.0.1:%d\"},\"store\":{\"address\":\"%s\"}}",
		control_port, cluster->peer_port, server_port, store);
	spawn_daemon(cluster, "agent0", settings);
	g_free(settings);
	g_free(server_addresses);
	g_free(store);
	HARNESS_WAIT(TIMEOUT_MS, harness_status("GET", cluster->ready_url, "/greengagefront/readyz",
						NULL) == 200);
}

static void stop_cluster(struct cluster *cluster)
{
	g_free(cluster->store_url);
	g_free(cluster->client_url);
	g_free(cluster->ready_url);
	harness_free(cluster->harness);
}

static int connect_to_entry(const struct cluster *cluster)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)cluster->peer_port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.2", &address.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	return fd;
}

/* Sends a frame. Errors are ignored because the entry may have closed the connection. */
static void send_frame(int fd, const uint8_t *content, size_t length)
{
	uint32_t header = htonl((uint32_t)length);

	if (send(fd, &header, HEADER_BYTES, MSG_NOSIGNAL) == HEADER_BYTES)
		(void)!send(fd, content, length, MSG_NOSIGNAL);
}

static void send_message(int fd, const Ggd__Frame *frame)
{
	size_t length = ggd__frame__get_packed_size(frame);
	uint8_t *bytes = g_malloc(length + 1);

	ggd__frame__pack(frame, bytes);
	send_frame(fd, bytes, length);
	g_free(bytes);
}

static void send_hello(int fd, GRand *rand, bool as_entry)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Hello hello = GGD__HELLO__INIT;
	uint8_t incarnation[IDENT_BYTES];

	for (int i = 0; i < IDENT_BYTES; i++)
		incarnation[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
	hello.incarnation.data = incarnation;
	hello.incarnation.len = IDENT_BYTES;
	hello.name = (char *)(g_rand_boolean(rand) ? "agent0" : "stranger");
	hello.zone = (char *)"a";
	hello.address = (char *)(as_entry ? "127.0.0.9:1" : "");
	hello.protocol = PROTOCOL_VERSION;
	frame.body_case = GGD__FRAME__BODY_HELLO;
	frame.hello = &hello;
	send_message(fd, &frame);
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
static void send_report(int fd, GRand *rand)
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
	report.number = random_u64(rand);
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
	inventory.remembered = g_rand_boolean(rand);
	report.inventory = g_rand_boolean(rand) ? &inventory : NULL;
	frame.body_case = GGD__FRAME__BODY_REPORT;
	frame.report = &report;
	send_message(fd, &frame);
}

static void send_peer_state(int fd, GRand *rand)
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
	send_message(fd, &frame);
}

static void send_config(int fd, GRand *rand)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigDocument document = GGD__CONFIG_DOCUMENT__INIT;
	static const char text[] = "{\"version\":";

	document.version = random_u64(rand);
	document.document.data = (uint8_t *)text;
	document.document.len = (size_t)g_rand_int_range(rand, 0, sizeof(text));
	frame.body_case = GGD__FRAME__BODY_CONFIG;
	frame.config = &document;
	send_message(fd, &frame);
}

static void send_garbage(int fd, GRand *rand)
{
	uint8_t bytes[64];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
	send_frame(fd, bytes, (size_t)g_rand_int_range(rand, 0, sizeof(bytes)));
}

static void send_random_frames(const struct cluster *cluster, GRand *rand)
{
	int fd = connect_to_entry(cluster);

	if (g_rand_int_range(rand, 0, 10) > 0)
		send_hello(fd, rand, g_rand_boolean(rand));
	for (int i = 0; i < FRAMES_PER_CONNECTION; i++) {
		switch (g_rand_int_range(rand, 0, 20)) {
		case 0:
			send_garbage(fd, rand);
			break;
		case 1:
			send_config(fd, rand);
			break;
		case 2:
		case 3:
		case 4:
		case 5:
			send_peer_state(fd, rand);
			break;
		default:
			send_report(fd, rand);
			break;
		}
	}
	close(fd);
}

struct job_sender {
	struct cluster *cluster;
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
	struct cluster cluster;
	GThread *thread;

	start_cluster(&cluster);
	sender.cluster = &cluster;
	thread = g_thread_new("client", send_jobs, &sender);
	for (int i = 0; i < CONNECTIONS; i++) {
		send_random_frames(&cluster, rand);
		g_usleep(CONNECTION_INTERVAL_US); /* lets some jobs start and end */
	}
	g_atomic_int_set(&sender.stop, 1);
	g_thread_join(thread);
	g_test_message("%u jobs completed meanwhile", sender.completed);
	HARNESS_WAIT(TIMEOUT_MS,
		     harness_status("POST", cluster.client_url, "/q/00000000ffffffff",
				    "{\"spec\":\"s\",\"bestEffort\":true,\"phases\":[{\"count\":1,"
				    "\"cpu\":1000,\"memMb\":64,\"estMs\":100}]}") == 200);
	/* Nothing restarts the entry, so exit status 0 on SIGTERM shows that it never crashed. */
	harness_signal(cluster.entry, SIGTERM);
	g_assert_cmpint(harness_wait_exit(cluster.entry, TIMEOUT_MS), ==, 0);
	g_rand_free(rand);
	stop_cluster(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hostile_peer/entry_survives", test_entry_survives);
	return g_test_run();
}
