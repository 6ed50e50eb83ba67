/* Backend servers as one entry sees them: room with its age, learned speed, and what this entry has
 * ordered since the last report. */
#ifndef GG_FLEET_H
#define GG_FLEET_H

#include <glib.h>
#include <stdbool.h>

#include "runs.h"
#include "table.h"

struct fleet_server {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	void *link; /* the agent's connection, for the callbacks of the dispatcher */
	bool ready;
	bool on_trial; /* at most one run of this entry at a time */
	struct resources total;
	struct resources free;	      /* in the last report, less what was ordered since */
	uint32_t waiting[PRIORITIES]; /* cpu of runs that wait there for room, with those since */
	int64_t run_us;		      /* mean time of a run there; 0 while unknown */
	double reported_speed;	      /* expected work done a second, on the agent's scale */
	double speed;		      /* the same against the typical server, which has 1 */
	bool speed_known;
	uint32_t runs; /* of this entry */
	int64_t reported_us;
	GQueue orders; /* struct fleet_order *, sent and not yet counted in a report */
};

struct fleet {
	struct table servers;
	GArray *speeds;	   /* scratch for the median */
	bool speeds_stale; /* a report has changed a speed; see fleet_normalize_speeds */
};

/* What an agent reports of its backend server. */
struct fleet_report {
	bool ready;
	bool on_trial;
	struct resources free;
	double speed; /* expected work done a second; only ratios between servers count */
	bool speed_known;
	uint32_t waiting_cpu[PRIORITIES];
	int64_t run_us;
	uint64_t last_order_counted; /* highest number of an order that `free` includes */
};

void fleet_init(struct fleet *fleet);
void fleet_free(struct fleet *fleet);

/* Adds a server reached over LINK; it is not ready before its first report. */
struct handle fleet_add(struct fleet *fleet, void *link);

void fleet_remove(struct fleet *fleet, struct handle server);

struct fleet_server *fleet_get(const struct fleet *fleet, struct handle server);

/* Returns whether tasks may start or wait there that could not before. */
bool fleet_apply_report(struct fleet *fleet, struct fleet_server *server,
			const struct fleet_report *report, int64_t now_us);

/* Brings the speeds relative to the typical server up to date with the reports. Call before a
 * choice of servers: at hundreds of servers it costs more than a report. */
void fleet_normalize_speeds(struct fleet *fleet);

/* Notes that order NUMBER starts a run that takes NEED. */
void fleet_record_order(struct fleet_server *server, const struct resources *need,
			uint32_t priority, uint64_t number);

/* Returns whether work may count on SERVER: one on trial, or one that hardly works, only gets a run
 * now and then. */
bool fleet_is_useful(const struct fleet_server *server);

/* Returns the cpu of the runs that wait at SERVER and go before one of PRIORITY. */
uint32_t fleet_waiting_cpu_ahead(const struct fleet_server *server, uint32_t priority);

/* Returns the mean time of a run at SERVER. */
int64_t fleet_mean_run_us(const struct fleet_server *server);

/*
 * Sums over the ready servers of SERVICE; all but their number and min_total leave out those that
 * hardly work.
 *
 * Load pattern: a third of the servers stands still, so that they look empty. Their room would let
 * jobs wait for it that cannot be served, and hide that the rest is full.
 */
struct fleet_sum {
	uint32_t servers;
	uint64_t cpu; /* thousandths of a core */
	uint64_t free_cpu;
	double max_speed;	    /* speed of the fastest server in use, 0 when there is none */
	double speed_weighted_cpu;  /* cpu weighted by speed */
	double cpu_release_rate;    /* cpu that full servers free a microsecond */
	struct resources min_total; /* what each of them has at least when it is empty */
};

struct fleet_sum fleet_sum(const struct fleet *fleet, const char *service);

/* Returns whether one of the ready servers of SERVICE has room for NEED when it is empty. */
bool fleet_any_server_fits(const struct fleet *fleet, const char *service,
			   const struct resources *need);

#endif
