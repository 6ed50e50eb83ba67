#include "harness_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	HEADER_BYTES = 4,
	PROTOCOL_VERSION = 2,
	RECEIVE_BYTES = 65536,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000
};

#define ENTRY_IP "127.0.0.2"

static const char config_document[] =
	"{\"version\":5,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.2\",\"pathPrefix\":\"/q/\","
	"\"service\":\"svc\",\"priority\":0,\"maxAttempts\":2,\"stretchFactor\":1.6,"
	"\"targetRuntimeMs\":2000,\"timeoutMs\":3000}],\"services\":[],\"limits\":{}}";

static struct harness_process *spawn_daemon(struct peer_cluster *cluster, const char *name,
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

static void start_entry(struct peer_cluster *cluster, const char *store)
{
	int client_port = harness_reserve_port();
	int ready_port = harness_reserve_port();
	char *settings = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"entry\",\"name\":\"entry0\",\"zone\":\"a\","
		"\"listen\":{\"clients\":\"" ENTRY_IP ":%d\",\"readiness\":\"" ENTRY_IP ":%d\"},"
		"\"peers\":{\"ip\":\"" ENTRY_IP "\",\"port\":%d,\"seeds\":[]},"
		"\"store\":{\"address\":\"%s\"},\"limits\":{\"grace_s\":6.0}}",
		client_port, ready_port, cluster->peer_port, store);

	cluster->client_url = g_strdup_printf("http://" ENTRY_IP ":%d", client_port);
	cluster->ready_url = g_strdup_printf("http://" ENTRY_IP ":%d", ready_port);
	cluster->entry = spawn_daemon(cluster, "entry0", settings);
	g_free(settings);
}

static void start_agent(struct peer_cluster *cluster, const char *store, int control_port,
			int server_port)
{
	char *settings = g_strdup_printf(
		"{\"mode\":\"platform\",\"role\":\"agent\",\"name\":\"agent0\",\"zone\":\"a\","
		"\"listen\":{\"control\":\"127.0.0.1:%d\"},"
		"\"peers\":{\"ip\":\"127.0.0.1\",\"port\":%d,\"seeds\":[\"" ENTRY_IP ":1\"]},"
		"\"server\":{\"address\":\"127.0.0.1:%d\"},\"store\":{\"address\":\"%s\"}}",
		control_port, cluster->peer_port, server_port, store);

	spawn_daemon(cluster, "agent0", settings);
	g_free(settings);
}

void peer_cluster_start(struct peer_cluster *cluster, bool with_entry, bool with_agent)
{
	int control_port = harness_reserve_port();
	int server_port = harness_reserve_port();
	char *store = g_strdup_printf("127.0.0.1:%d", harness_reserve_port());
	char *servers = g_strdup_printf("127.0.0.1:%d=127.0.0.1:%d", server_port, control_port);
	const char *platform[] = {GG_BUILD_DIR "/test/standin/standin_platform", store,
				  with_agent ? servers : NULL, NULL};

	*cluster = (struct peer_cluster){.harness = harness_new(),
					 .peer_port = harness_reserve_port()};
	cluster->entry_address = g_strdup_printf(ENTRY_IP ":%d", cluster->peer_port);
	cluster->platform_url = g_strdup_printf("http://%s", store);
	harness_spawn(cluster->harness, "platform", platform);
	HARNESS_WAIT(PEER_TIMEOUT_MS,
		     harness_status("GET", cluster->platform_url, "/control", NULL) == 200);
	g_assert_cmpint(
		harness_status("POST", cluster->platform_url, "/control/config", config_document),
		==, 200);
	if (with_entry)
		start_entry(cluster, store);
	if (with_agent)
		start_agent(cluster, store, control_port, server_port);
	g_free(servers);
	g_free(store);
}

void peer_cluster_stop(struct peer_cluster *cluster)
{
	g_free(cluster->entry_address);
	g_free(cluster->platform_url);
	g_free(cluster->client_url);
	g_free(cluster->ready_url);
	harness_free(cluster->harness);
}

bool peer_cluster_is_ready(const struct peer_cluster *cluster)
{
	return harness_status("GET", cluster->ready_url, "/greengagefront/readyz", NULL) == 200;
}

int64_t peer_cluster_counter(const struct peer_cluster *cluster, const char *name)
{
	struct harness_reply reply = harness_call("GET", cluster->platform_url, "/control", NULL);
	int64_t value = json_integer_value(json_object_get(reply.body, name));

	harness_reply_clear(&reply);
	return value;
}

static struct sockaddr_in socket_address(const char *ip, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

static int new_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	return fd;
}

struct peer_conn peer_connect(const struct peer_cluster *cluster)
{
	struct sockaddr_in address = socket_address(ENTRY_IP, cluster->peer_port);
	struct peer_conn conn = {.fd = new_socket(), .received = g_byte_array_new()};

	HARNESS_WAIT(PEER_TIMEOUT_MS,
		     connect(conn.fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	return conn;
}

int peer_listen(const struct peer_cluster *cluster)
{
	return peer_listen_at(ENTRY_IP, cluster->peer_port);
}

int peer_listen_at(const char *ip, int port)
{
	struct sockaddr_in address = socket_address(ip, port);
	int fd = new_socket();
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	return fd;
}

struct peer_conn peer_accept(int listener)
{
	struct peer_conn conn = {.fd = accept(listener, NULL, NULL),
				 .received = g_byte_array_new()};

	g_assert_cmpint(conn.fd, >=, 0);
	return conn;
}

void peer_close(struct peer_conn *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
	g_clear_pointer(&conn->received, g_byte_array_unref);
}

void peer_send_bytes(struct peer_conn *conn, const uint8_t *content, size_t length)
{
	uint32_t header = htonl((uint32_t)length);

	if (send(conn->fd, &header, HEADER_BYTES, MSG_NOSIGNAL) == HEADER_BYTES)
		(void)!send(conn->fd, content, length, MSG_NOSIGNAL);
}

static int64_t boot_time_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

void peer_send(struct peer_conn *conn, const Ggd__Frame *frame)
{
	Ggd__Frame named = *frame;
	size_t length;
	uint8_t *bytes;

	named.sent_ms = (uint64_t)(boot_time_ms() - conn->delay_ms);
	length = ggd__frame__get_packed_size(&named);
	bytes = g_malloc(length);
	ggd__frame__pack(&named, bytes);
	peer_send_bytes(conn, bytes, length);
	g_free(bytes);
}

void peer_send_hello(struct peer_conn *conn, uint8_t incarnation, const char *name,
		     const char *address)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Hello hello = GGD__HELLO__INIT;
	uint8_t bytes[PEER_IDENT_BYTES];

	memset(bytes, incarnation, sizeof(bytes));
	hello.incarnation.data = bytes;
	hello.incarnation.len = sizeof(bytes);
	hello.name = (char *)name;
	hello.zone = (char *)"a";
	hello.address = (char *)address;
	hello.protocol = PROTOCOL_VERSION;
	frame.body_case = GGD__FRAME__BODY_HELLO;
	frame.hello = &hello;
	peer_send(conn, &frame);
}

static void receive_bytes(struct peer_conn *conn)
{
	uint8_t bytes[RECEIVE_BYTES];
	ssize_t length = recv(conn->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (length > 0) {
		g_byte_array_append(conn->received, bytes, (guint)length);
	} else if (length == 0 || (errno != EAGAIN && errno != EINTR)) {
		close(conn->fd);
		conn->fd = -1;
	}
}

Ggd__Frame *peer_receive(struct peer_conn *conn)
{
	Ggd__Frame *frame;
	uint32_t length;

	if (conn->fd >= 0)
		receive_bytes(conn);
	if (conn->received->len < HEADER_BYTES)
		return NULL;
	memcpy(&length, conn->received->data, HEADER_BYTES);
	length = ntohl(length);
	if (conn->received->len < HEADER_BYTES + length)
		return NULL;
	frame = ggd__frame__unpack(NULL, length, conn->received->data + HEADER_BYTES);
	g_assert_nonnull(frame);
	g_byte_array_remove_range(conn->received, 0, HEADER_BYTES + length);
	return frame;
}
