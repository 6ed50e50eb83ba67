/* Test harness that runs a cluster of real processes: the stand-in of the log
 * service, the fault-injecting proxy, entries, agents and stand-ins of the backend servers. */
#ifndef GG_HARNESS_H
#define GG_HARNESS_H

#include <gio/gio.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	HARNESS_MAX_ENTRIES = 8,
	HARNESS_MAX_AGENTS = 40,
	HARNESS_POLL_US = 5000, /* interval between two checks of a condition */
	HARNESS_START_TIMEOUT_MS =
		20000, /* limit for a process to become ready, also on a busy machine */
	HARNESS_CALL_TIMEOUT_MS = 30000, /* limit for one HTTP call */
	HARNESS_SHORT_CALL_TIMEOUT_MS =
		5000, /* exceeds the job timeout of the routes in the tests */
};

/* A child process. Its output is written to files in the harness's directory. */
struct harness_process {
	char *name;
	char **argv;
	GSubprocess *child; /* NULL while the process is not running */
	char *stderr_file;  /* standard error */
	char *stdout_file;  /* standard output, to which the daemons log */
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

/* Options of harness_start. A zero value selects the default given in the field's comment. */
struct harness_options {
	unsigned entries;     /* default 2 */
	unsigned agents;      /* default 2 */
	unsigned slots;	      /* per server, default 8 */
	unsigned connections; /* per server, default 60 or the number of slots if larger */
	double time_factors[HARNESS_MAX_AGENTS]; /* run time factors of the servers, default 1; 2
						    doubles the run time */
	const char *labels[HARNESS_MAX_AGENTS];
	const char *zones[HARNESS_MAX_AGENTS];
	bool without_log;
	bool external_entries; /* starts no entries; the test program listens on their ports */
	bool with_proxy;
	const char *entry_settings; /* JSON object merged into the generated settings */
	const char *agent_settings;
	const char *const
		*log_options; /* additional arguments of the log stand-in, NULL-terminated */
};

struct harness {
	char *directory;
	GPtrArray *processes;
	struct harness_options options;
	struct harness_process *log;
	int log_port;
	struct harness_process *proxy;
	int proxy_control_port;
	struct harness_entry entries[HARNESS_MAX_ENTRIES];
	struct harness_agent agents[HARNESS_MAX_AGENTS];
};

struct harness_reply {
	long status;   /* HTTP status, or 0 if no response was received */
	json_t *body;  /* NULL if the body is not JSON */
	char *text;    /* body as received */
	char *session; /* value of the header Greengage-Session, or NULL */
	int64_t elapsed_us;
};

/* Creates a harness with a temporary directory for settings and logs. Installs signal handlers that
 * print the logs of all processes when an assertion fails. */
struct harness *harness_new(void);

/* Kills the remaining processes, removes the directory and frees the harness. */
void harness_free(struct harness *harness);

/* Starts the processes selected by OPTIONS and waits until they are ready and every agent is
 * connected to all entries. With external_entries, waits only until the agents are ready. */
struct harness *harness_start(const struct harness_options *options);

/* Starts a process with ARGV (NULL-terminated, copied). The kernel kills it when the test program
 * ends. */
struct harness_process *harness_spawn(struct harness *harness, const char *name,
				      const char *const *argv);

/* Waits for the line "listening PORT" in the process's standard output and returns PORT. */
int harness_wait_listening(const struct harness_process *process);

/* Sends a signal to the process if it is running. After SIGSTOP, returns once all its threads have
 * stopped. */
void harness_signal(struct harness_process *process, int signal_number);

/* Kills the process and waits until it has terminated. */
void harness_kill(struct harness_process *process);

/* Waits until the process has terminated and returns its exit status, or -1 if a signal killed it.
 * Fails the test if this takes longer than LIMIT_MS. */
int harness_wait_exit(struct harness_process *process, int64_t limit_ms);

/* Stops the running entries, backend servers and agents with SIGTERM, in that order. Fails the test
 * unless each exits with status 0. */
void harness_stop(struct harness *harness);

/* Restarts a terminated process with the same arguments and therefore at the same address. */
void harness_restart(struct harness *harness, struct harness_process *process);

/* Reserves a port of 127.0.0.1 until harness_free and returns it. Only a listener with SO_REUSEADDR
 * can bind it. */
int harness_reserve_port(void);

/* Waits until GET /readyz at URL, the address of an entry or agent, returns 200. */
void harness_wait_ready(const char *url);

/* Waits until every running agent is connected to at least ENTRIES entries. */
void harness_wait_connected(struct harness *harness, unsigned entries);

/* Sends the command LINE to the proxy's control port and returns its response, which the caller
 * frees. */
char *harness_proxy_command(struct harness *harness, const char *line);

/* Makes the backend server of agent INDEX inject the faults that the JSON text FAULTS describes. */
void harness_set_server_faults(struct harness *harness, unsigned index, const char *faults);

/* Makes the log stand-in inject the faults that the JSON text FAULTS describes. */
void harness_set_log_faults(struct harness *harness, const char *faults);

/*
 * Sends one HTTP request. BODY may be NULL. The status in the reply is 0 if no response arrived
 * within LIMIT_MS. The caller clears the reply with harness_reply_clear.
 */
struct harness_reply harness_http(const char *method, const char *url, const char *body,
				  int64_t limit_ms);
void harness_reply_clear(struct harness_reply *reply);

/* Sends one HTTP request to PATH at the address BASE, with a limit of
 * HARNESS_SHORT_CALL_TIMEOUT_MS. */
struct harness_reply harness_call(const char *method, const char *base, const char *path,
				  const char *body);

/* Sends a request like harness_call and returns only its HTTP status. */
long harness_status(const char *method, const char *base, const char *path, const char *body);

/* Opens a session at an entry and returns its token, which the caller frees. */
char *harness_open_session(const char *entry_url);

/* Submits JOB (JSON text) under SESSION and KEY and waits up to WAIT_MS for its results. */
struct harness_reply harness_submit(const char *entry_url, const char *session, const char *key,
				    const char *job, int64_t wait_ms);

/* Returns the JSON text of a job of COUNT tasks, which the caller frees. SEED determines the
 * sleep_ms of each task, between MIN_MS and MAX_MS inclusive. Each task echoes its index. */
char *harness_job(unsigned count, int min_ms, int max_ms, uint32_t seed);

/* Checks that REPLY holds a finished job with COUNT results in task order. */
void harness_check_results(const struct harness_reply *reply, unsigned count);

/* Returns the value of a metric of the entry or agent at URL, or -1 if it is missing. NAME omits
 * the prefix "greengage_". */
int64_t harness_metric(const char *url, const char *name);

/* Counts of task starts, summed over all running servers. */
struct harness_start_counts {
	uint64_t total;
	uint64_t repeated;    /* starts of a task after its first */
	uint64_t max_running; /* largest number of tasks that ran at the same time on one server */
};
struct harness_start_counts harness_count_starts(struct harness *harness);

/* Prints the logs of all processes to standard error. Async-signal-safe. */
void harness_print_logs(void);

/* Waits until CONDITION is true. Fails the test if this takes longer than LIMIT_MS. */
#define HARNESS_WAIT(limit_ms, condition)                                                          \
	do {                                                                                       \
		int64_t harness_end = g_get_monotonic_time() + (int64_t)(limit_ms)*1000;           \
		while (!(condition)) {                                                             \
			if (g_get_monotonic_time() > harness_end)                                  \
				g_error("condition not met within %d ms: %s", (int)(limit_ms),     \
					#condition);                                               \
			g_usleep(HARNESS_POLL_US);                                                 \
		}                                                                                  \
	} while (0)

#endif
