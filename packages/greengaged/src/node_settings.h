/* Settings of the daemon on a platform that runs it (mode "platform"). deploy/settings.json.tmpl
 * renders them. */
#ifndef GG_NODE_SETTINGS_H
#define GG_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/* Values as read from the settings file; each unit is in the field's name. */
struct node_settings {
	char *mode;
	char *role; /* "entry" or "agent" */
	char *name;
	char *zone;
	char *log_level;

	char *client_address;	 /* entry: clients' requests */
	char *readiness_address; /* entry: probes of the balancer, and metrics */
	char *control_address;	 /* agent: heartbeats of the backend server, and metrics */
	char *host_ip;
	char *advertised_ip; /* entry: where others reach it, if not at host_ip; NULL when the same
			      */
	int64_t peer_port;   /* of every entry, for agents and other entries */
	char **seeds;	     /* addresses whose hosts run an entry, or ran one */

	char *store_address;

	char *server_address; /* agent: where the backend server takes orders */

	double lease_ms;	/* longest lease that a backend server grants */
	double stop_ms;		/* in which a backend server ends a stopped run */
	double resend_ms;	/* after which a client sends an unanswered job again */
	double grace_s;		/* between SIGTERM and SIGKILL */
	double config_apply_ms; /* in which a configuration must be in force */
};

/* Returns whether the settings in FILE are of mode "platform"; false also when FILE cannot be read.
 */
bool node_settings_is_platform(const char *file);

/* Reads and checks FILE. Errors as settings_load; the message names the path and what is accepted.
 */
enum status node_settings_load(const char *file, struct node_settings *settings, struct error *err);

/*
 * A client sends an unanswered job again after resend_ms, and by then no run of a lost owner may
 * exist, even when its agent dies just before it gives the owner up. So the time after which a
 * silent peer is given up and the lease that runs on without an agent share what resend_ms leaves.
 */
int64_t node_settings_silence_timeout_ms(const struct node_settings *settings);
int64_t node_settings_run_lease_ms(const struct node_settings *settings);

void node_settings_free(struct node_settings *settings);

#endif
