/* Learned run time of each class and learned speed factor of each server. */
#ifndef GG_SCHEDULER_LEARN_H
#define GG_SCHEDULER_LEARN_H

#include <stdint.h>

/* Run time of a class on a server of factor 1. */
struct learn_class {
	double log_run;
	double run_us;
	uint32_t samples;
};

/* Run time on a server relative to the class. */
struct learn_server {
	double log_factor;
	double factor;
	double mean_run_us; /* of all results of the server, 0 before the first */
	uint32_t samples;
	uint32_t failure_streak; /* refusals and failures since the last result */
};

/* The servers' mean factor, from which a new server or class starts. */
struct learn_server_mean {
	double log_sum;
	uint32_t servers;
};

/* Starts CLASS from a declared run time in microseconds; 0 stands for "not declared". */
void learn_class_init(struct learn_class *learned, const struct learn_server_mean *mean,
		      int64_t declared_us);

/* Starts a new server from the mean factor. */
void learn_server_init(struct learn_server *learned, struct learn_server_mean *mean);

/* Takes a server out of the mean. */
void learn_server_remove(const struct learn_server *learned, struct learn_server_mean *mean);

/* Learns from one result. */
void learn_result(struct learn_class *class, struct learn_server *server,
		  struct learn_server_mean *mean, int64_t run_us);

/* Counts a refusal or failure against the server. */
void learn_failure(struct learn_server *server);

/* Returns the factor used for placement: the learned one, doubled for each refusal or failure since
 * the last result. */
double learn_placement_factor(const struct learn_server *server);

/* Returns the learned factor relative to the mean of all servers. */
double learn_relative_factor(const struct learn_server *server,
			     const struct learn_server_mean *mean);

#endif
