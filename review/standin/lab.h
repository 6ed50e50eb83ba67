/*
 * Stand-in for the users' platform in the review's scripts: the store, backend servers, links
 * between hosts and clients, all in one process on loopback addresses. It also starts the project's
 * daemons and sends them signals. Everything that clients and servers see goes to a record.
 *
 * A backend server reads what a task needs from the job's spec: "cpu=2000 ms=300".
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <jansson.h>
#include <stdio.h>
#include <sys/types.h>

#include "../../packages/net/include/http_client.h"
#include "../../packages/net/include/http_server.h"

enum {
	LAB_US_PER_MS = 1000,
	LAB_MAX_DAEMONS = 16,
	LAB_TEXT_BYTES = 64,
	LAB_HOLD_MAX_MS = 1000, /* holdMaxMs */
	LAB_STOP_MS = 50,	/* stopMs */
	LAB_RESEND_MS = 1300,	/* resendMs */
	LAB_GRACE_S = 6,	/* graceS */
	LAB_CONFIG_APPLY_MS = 2000,
	LAB_EXIT_HELD = 0,
	LAB_EXIT_BROKEN = 1,
	LAB_EXIT_NOT_RUN = 2
};

struct lab {
	struct net_loop loop;
	FILE *record;
	char *directory; /* temporary; holds the settings and logs of the daemons */
	char *program;	 /* path of the daemon */
	int64_t started_us;
	bool trouble; /* false: the disruption is left out */
	int store_port;
	int peer_port;
	GHashTable *topics;    /* name -> struct lab_topic * */
	GArray *pending_reads; /* of log-read calls that wait */
	GPtrArray *servers;    /* struct lab_server * */
	GPtrArray *daemons;    /* struct lab_daemon * */
	GPtrArray *links;      /* struct lab_link * */
	const char *seed_ip;   /* of the first entry; in the settings of all entries */
	int64_t config_version;
	GHashTable *started_jobs; /* set of the ids of jobs of which a task has started */
	unsigned overlaps;	  /* starts of a task while another run of it was at work */
};

/* One life after the other of a backend server at one address. */
struct lab_server {
	struct lab *lab;
	char *app_address;
	char *control_address;
	char id[LAB_TEXT_BYTES];
	char service[LAB_TEXT_BYTES];
	struct http_server *http;
	struct http_client *control;
	GPtrArray *runs;	/* struct lab_run * */
	GHashTable *highest;	/* task -> highest attempt that was stopped or has ended */
	json_t *finished;	/* ends that are not acknowledged */
	int64_t last_end;	/* number of the last end */
	GArray *pending_holds;	/* of holds that wait for an end */
	int64_t fence;		/* highest seen */
	int64_t lease_until_us; /* everything that runs ends then */
	int64_t born_ms;
	int64_t born_us; /* its clock counts from here */
	int64_t sequence;
	int cpu;     /* thousandths of a core */
	int stop_ms; /* time in which a stop takes effect */
	bool up;
	bool cut;
	unsigned starts; /* number of starts */
};

struct lab_run {
	char *task;
	int64_t attempt;
	int cpu;
	int64_t started_us;
	int64_t ends_us;
	int64_t stopped_us; /* time at which a stop takes effect; 0: none */
};

struct lab_daemon {
	struct lab *lab;
	char name[LAB_TEXT_BYTES];
	char *settings;
	pid_t pid; /* 0 while it does not run */
};

/* A link between hosts: channels to one address are forwarded to another one. */
struct lab_link {
	struct lab *lab;
	char *target;
	GPtrArray *channels; /* struct lab_channel *, open or half open */
	bool cut;	     /* nothing passes; bytes wait for the end of the cut */
	int lost_first_ms; /* of the next channel, the first packet from the caller is lost and sent
			      again after this time; 0: none */
};

/* A client's request. */
struct lab_request {
	struct lab *lab;
	const char *name; /* for the record */
	char id[17];
	struct http_client *client;
	int code; /* of the answer; 0: none, or the connection was closed without one */
	char state[LAB_TEXT_BYTES];
	int64_t sent_us;
	int64_t answered_us; /* 0 while it waits */
};

/* Reads the environment (TROUBLE, RECORD, PROGRAM) and prepares an empty laboratory. Exits with
 * LAB_EXIT_NOT_RUN when that is not possible. */
struct lab *lab_new(void);

/* Writes one line to the record. */
void lab_note(struct lab *lab, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the time since the start, in milliseconds. */
int64_t lab_now_ms(const struct lab *lab);

/* Returns a TCP port that is free on all loopback addresses used here. */
int lab_free_port(void);

/* Writes a configuration with the given routes, a JSON list, to the store. */
void lab_publish(struct lab *lab, const char *routes);

struct lab_server *lab_add_server(struct lab *lab, const char *service, int cpu);

/* Ends the life of SERVER as a crash does: its channels are reset and nothing of it is left. */
void lab_crash_server(struct lab_server *server);

/* Begins the next life of SERVER, with the same id. */
void lab_boot_server(struct lab_server *server);

/* Begins or ends a cut of SERVER from all machines, its agent's too: open channels are closed, new
 * ones refused and no heartbeat gets out, while its runs go on under their lease. */
void lab_cut_server(struct lab_server *server, bool cut);

/* Starts an entry on the address IP, which others reach at ADVERTISED_IP, or an agent beside
 * SERVER. */
struct lab_daemon *lab_add_entry(struct lab *lab, const char *name, const char *ip,
				 const char *advertised_ip, int client_port, int readiness_port);
struct lab_daemon *lab_add_agent(struct lab *lab, const char *name, struct lab_server *server,
				 const char *seed_ip);
void lab_start_daemon(struct lab_daemon *daemon);
void lab_signal(struct lab_daemon *daemon, int signal_number);

/* Forwards channels from LISTEN to TARGET, both "IP:port". */
struct lab_link *lab_add_link(struct lab *lab, const char *listen, const char *target);

/* Begins or ends a cut. The first packet of the first channel opened after a cut is lost if
 * LOST_FIRST_MS is above 0; it is sent again after that time. */
void lab_cut(struct lab_link *link, bool cut, int lost_first_ms);

/* Sends a request. Its answer is written to the record and to REQUEST. WAIT_MS is what the client
 * states as its deadline; it closes the channel after that time. */
void lab_send(struct lab_request *request, const char *method, const char *path, const char *body,
	      int wait_ms);

/* Returns the body of a job of COUNT tasks that need CPU each and take RUN_MS. */
char *lab_job(int count, int cpu, int run_ms, int estimate_ms);

/* Runs the event loop for MS milliseconds. */
void lab_run_for(struct lab *lab, int ms);

/* Returns whether the readiness probe at ADDRESS is answered with 200 within LIMIT_MS, running the
 * event loop. */
bool lab_wait_ready(struct lab *lab, const char *address, int limit_ms);

/* Ends all daemons, writes the verdict and exits. */
void lab_finish(struct lab *lab, bool broken, const char *verdict) G_GNUC_NORETURN;

/* Ends all daemons and exits with LAB_EXIT_NOT_RUN. */
void lab_abort(struct lab *lab, const char *reason) G_GNUC_NORETURN;

#endif
