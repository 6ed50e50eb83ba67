/* An entry and an agent in platform mode, and connections on which a test program speaks to them as
 * another process does. */
#ifndef GG_HARNESS_PEER_H
#define GG_HARNESS_PEER_H

#include "dispatch.pb-c.h"
#include "harness.h"

enum {
	PEER_IDENT_BYTES = 16,
	PEER_TIMEOUT_MS = 10000, /* for a condition that needs several processes */
};

struct peer_cluster {
	struct harness *harness;
	struct harness_process *entry; /* NULL without an entry */
	int peer_port;
	char *entry_address; /* where the entry, or the test program in its place, accepts peers */
	char *platform_url;
	char *client_url;
	char *ready_url;
};

/* Starts the platform stand-in and, as selected, an entry and an agent with its backend server. */
void peer_cluster_start(struct peer_cluster *cluster, bool with_entry, bool with_agent);
void peer_cluster_stop(struct peer_cluster *cluster);

/* Returns whether the entry is ready for jobs. */
bool peer_cluster_is_ready(const struct peer_cluster *cluster);

/* Returns the value of one of the counters of the platform stand-in. */
int64_t peer_cluster_counter(const struct peer_cluster *cluster, const char *name);

/* A connection to the process under test. */
struct peer_conn {
	int fd; /* -1 once closed */
	GByteArray *received;
	int64_t delay_ms; /* frames name a time so long ago as that of their sending */
};

/* Connects to the entry. */
struct peer_conn peer_connect(const struct peer_cluster *cluster);

/* Listens in place of the entry, or in place of another one, and accepts a connection. */
int peer_listen(const struct peer_cluster *cluster);
int peer_listen_at(const char *ip, int port);
struct peer_conn peer_accept(int listener);

void peer_close(struct peer_conn *conn);

/* Send a frame. Errors are ignored because the other side may have closed the connection. */
void peer_send_bytes(struct peer_conn *conn, const uint8_t *content, size_t length);
void peer_send(struct peer_conn *conn, const Ggd__Frame *frame);

/* Sends a hello message with an incarnation of 16 equal bytes. ADDRESS is empty for an agent. */
void peer_send_hello(struct peer_conn *conn, uint8_t incarnation, const char *name,
		     const char *address);

/* Returns the next frame that has arrived, which the caller frees with
 * ggd__frame__free_unpacked, or NULL. Sets conn->fd to -1 when the other side has closed the
 * connection. */
Ggd__Frame *peer_receive(struct peer_conn *conn);

#endif
