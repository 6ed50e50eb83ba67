/* Settings of one daemon in mode "platform", in which the hosting platform starts it and provides
 * the store. They are read from a local file, which is rendered from deploy/settings.json.tmpl; see
 * node_config.h for the configuration that all entries share. */
#ifndef GG_NODE_SETTINGS_H
#define GG_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

enum {
	/* Time after the silence timeout in which an agent should have stopped the runs of an
	 * owner, for a stop and two repetitions. Then it sends no more leases until they have
	 * ended. */
	NODE_STOP_WAIT_MS = 60,
	/* A server's monotonic clock may be this much slow. */
	NODE_CLOCK_DRIFT_PERCENT = 2
};

/* Values from the settings file, with units in the field names. Strings are owned by the struct; an
 * optional string without a value is NULL. */
struct node_settings {
	char *mode;
	char *role; /* "entry" or "agent" */
	char *name;
	char *zone;
	char *log_level;

	char *client_address;	 /* entry: listens for client requests */
	char *readiness_address; /* entry: listens for readiness probes of the load balancer and
				    requests for metrics */
	char *control_address;	 /* agent: listens for heartbeats of the backend server and requests
				  for metrics */
	char *host_ip;
	/* entry: IP address at which other daemons reach the entry; NULL if they use host_ip */
	char *advertised_ip;
	int64_t peer_port; /* port at which every entry listens for agents and other entries */
	char **seeds;	   /* addresses on hosts that run an entry or once ran one */

	char *store_address;

	char *server_address; /* agent: address at which the backend server accepts orders */

	char **policy_off;  /* entry: mechanisms switched off for experiments; see policy.h */
	bool shed_by_share; /* entry: divides scarce room among the queues; see shedding.h */
	bool local_zone;    /* entry: prefers backend servers in its own zone */
	int64_t local_zone_servers; /* entry: while at least so many of them are ready */

	double lease_ms;	/* longest lease that a backend server grants */
	double stop_ms;		/* time within which a backend server ends a stopped run */
	double resend_ms;	/* time after which a client sends an unanswered job again */
	double grace_s;		/* time after SIGTERM at which the platform sends SIGKILL */
	double config_apply_ms; /* time within which a new configuration is in force */
};

/* Returns whether the settings in FILE are of mode "platform"; false also when FILE cannot be read.
 */
bool node_settings_is_platform(const char *file);

/* Reads and checks FILE. Errors as settings_load; also STATUS_INVALID_SETTINGS when a setting
 * that the role requires is missing, or when limits.resend_ms exceeds limits.stop_ms by too little.
 * On success, the caller releases SETTINGS with node_settings_free. */
enum status node_settings_load(const char *file, struct node_settings *settings, struct error *err);

/*
 * Return the minimum silence timeout of a link, i.e. the time without data after which the peer
 * counts as unreachable (node_link_set_heartbeat may raise it), and the lease of a run.
 *
 * A client sends an unanswered job again after resend_ms. By then no run of an unreachable owner
 * (the entry that ordered the run) may exist any more, even if the agent dies just before it
 * detects that the owner is unreachable: the backend server then keeps the run until its lease
 * expires. If the agent's stops are lost, the run ends with its lease, too. So the silence timeout,
 * the wait for stops and the lease share the time that remains of resend_ms after stop_ms and a
 * margin.
 */
int64_t node_settings_silence_timeout_ms(const struct node_settings *settings);
int64_t node_settings_run_lease_ms(const struct node_settings *settings);

/* Frees the strings in SETTINGS. */
void node_settings_free(struct node_settings *settings);

#endif
