/* Runs real processes for tests: log stand-in, proxy, entries, agents and backend servers. */
#ifndef GG_HARNESS_H
#define GG_HARNESS_H

#include <gio/gio.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	HARNESS_MAX_ENTRIES = 8,
	HARNESS_MAX_AGENTS = 40,
	HARNESS_POLL_US = 5000,	      /* between two checks of a condition */
	HARNESS_START_MS = 20000,     /* for a process to be ready, also on a busy machine */
	HARNESS_CALL_MS = 30000,      /* for one HTTP call */
	HARNESS_SHORT_CALL_MS = 5000, /* above the time for which a route lets a job take */
};

/* A child process. Its output goes to files in the harness's directory. */
struct harness_process {
	char *name;
	char **argv;
	GSubprocess *child; /* NULL while it does not run */
	char *log_file;	    /* standard error */
	char *out_file;	    /* standard output, with the daemons' logs */
};

struct harness_entry {
	struct harness_process *process;
	int http_port;
	int channel_port;
	char url[48];
};

struct harness_agent {
	struct harness_process *process; /* the agent */
	struct harness_process *server;	 /* its backend server */
	int http_port;
	int server_port;
	char url[48];
	char server_url[48];
};

/* What harness_start starts. Zero values take the defaults named. */
struct harness_options {
	unsigned entries; /* 2 */
	unsigned agents;  /* 2 */
	unsigned slots;	  /* of each server, 8 */
	unsigned connections;
	double speeds[HARNESS_MAX_AGENTS]; /* 1 */
	const char *labels[HARNESS_MAX_AGENTS];
	const char *zones[HARNESS_MAX_AGENTS];
	bool without_log;
	bool external_entries; /* none is started: the test program listens at their ports */
	bool with_proxy;
	const char *entry_settings; /* JSON merged over the generated settings */
	const char *agent_settings;
	const char *const *log_options; /* further arguments of the log stand-in, NULL-terminated */
};

struct harness {
	char *directory;
	GPtrArray *processes;
	struct harness_options options;
	struct harness_process *log;
	int log_port;
	struct harness_process *proxy;
	int proxy_control;
	struct harness_entry entries[HARNESS_MAX_ENTRIES];
	struct harness_agent agents[HARNESS_MAX_AGENTS];
};

struct harness_reply {
	long status;   /* HTTP status, or 0 without an answer */
	json_t *body;  /* NULL when it is not JSON */
	char *text;    /* as received */
	char *session; /* header Greengage-Session, or NULL */
	int64_t elapsed_us;
};

/* Makes a directory for settings and logs. From here on a failed assertion prints every process's
 * log. */
struct harness *harness_new(void);

/* Stops what still runs, removes the directory and frees the harness. */
void harness_free(struct harness *harness);

/* Starts everything in OPTIONS and waits until entries, agents and servers have met. */
struct harness *harness_start(const struct harness_options *options);

/* Starts a process with ARGV (NULL-terminated, copied). It dies with the test program. */
struct harness_process *harness_spawn(struct harness *harness, const char *name,
				      const char *const *argv);

/* Waits for the line "listening PORT" on the process's standard output and returns PORT. */
int harness_wait_listening(const struct harness_process *process);

/* Sends a signal; SIGSTOP freezes the process and SIGCONT lets it go on. */
void harness_signal(struct harness_process *process, int signal_number);

/* Kills the process and waits for its end. */
void harness_kill(struct harness_process *process);

/* Waits for the end of the process and returns its exit status, or -1 when it was killed by a
 * signal. Fails the test after LIMIT_MS. */
int harness_wait_exit(struct harness_process *process, int64_t limit_ms);

/* Stops entries, backend servers and agents by SIGTERM, in that order, as far as they run. Each
 * must exit with 0. */
void harness_stop(struct harness *harness);

/* Starts a process that has ended again with the same arguments, so at the same address. */
void harness_restart(struct harness *harness, struct harness_process *process);

/* Returns a port of 127.0.0.1 that stays reserved, for listeners with SO_REUSEADDR, until
 * harness_free. */
int harness_reserve_port(void);

/* Waits until /readyz of an entry or agent at URL answers 200. */
void harness_wait_ready(const char *url);

/* Waits until every running agent has heard from ENTRIES entries. */
void harness_wait_connected(struct harness *harness, unsigned entries);

/* Sends LINE to the proxy's control port and returns its answer, to be freed. */
char *harness_proxy_command(struct harness *harness, const char *line);

/* Sends faults (JSON) to the backend server of agent INDEX, and to the log stand-in. */
void harness_server_control(struct harness *harness, unsigned index, const char *faults);
void harness_log_control(struct harness *harness, const char *faults);

/*
 * Sends one HTTP request. BODY may be NULL. Without an answer within LIMIT_MS the reply's status is
 * 0.
 */
struct harness_reply harness_http(const char *method, const char *url, const char *body,
				  int64_t limit_ms);
void harness_reply_clear(struct harness_reply *reply);

/* The same for PATH below the address BASE, with a limit of HARNESS_SHORT_CALL_MS. */
struct harness_reply harness_call(const char *method, const char *base, const char *path,
				  const char *body);

/* Returns the status of such a request. */
long harness_status(const char *method, const char *base, const char *path, const char *body);

/* Opens a session at an entry and returns its token, to be freed. */
char *harness_open_session(const char *entry_url);

/* Submits JOB (JSON text) under SESSION and KEY and waits up to WAIT_MS for the answer. */
struct harness_reply harness_submit(const char *entry_url, const char *session, const char *key,
				    const char *job, int64_t wait_ms);

/* Returns the JSON text of a job of COUNT tasks whose sleep_ms lies between MIN_MS and MAX_MS, to
 * be freed. Each task echoes its index. */
char *harness_job(unsigned count, int min_ms, int max_ms, uint32_t seed);

/* Checks that REPLY is a complete answer of COUNT results in task order. */
void harness_check_answer(const struct harness_reply *reply, unsigned count);

/* Returns the value of a metric, without its prefix "greengage_", at an entry or agent; -1 when it
 * is missing. */
int64_t harness_metric(const char *url, const char *name);

/* Counts of starts over all servers that run. */
struct harness_starts {
	uint64_t total;
	uint64_t repeated;    /* starts beyond the first of a task */
	uint64_t max_running; /* highest number at once on one server */
};
struct harness_starts harness_starts(struct harness *harness);

/* Prints every process's log to standard error. Safe in a signal handler. */
void harness_print_logs(void);

/* Waits until CONDITION holds; fails the test after LIMIT_MS. */
#define HARNESS_WAIT(limit_ms, condition)                                                          \
	do {                                                                                       \
		int64_t harness_end = g_get_monotonic_time() + (int64_t)(limit_ms)*1000;           \
		while (!(condition)) {                                                             \
			if (g_get_monotonic_time() > harness_end)                                  \
				g_error("not within %d ms: %s", (int)(limit_ms), #condition);      \
			g_usleep(HARNESS_POLL_US);                                                 \
		}                                                                                  \
	} while (0)

#endif
