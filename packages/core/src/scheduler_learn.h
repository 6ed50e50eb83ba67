/* Estimates the run time of each class and the speed factor of each server from results. */
#ifndef GG_SCHEDULER_LEARN_H
#define GG_SCHEDULER_LEARN_H

#include <stdint.h>

/* Estimated run time of a class on a server of factor 1. */
struct run_time_estimate {
	double log_run;
	double run_us;
	uint32_t samples;
};

/* Learned speed of a server. The factor is the run time on the server divided by the run time of
 * the same class on a server of factor 1. */
struct speed_estimate {
	double log_factor;
	double factor;
	double mean_run_us; /* moving average of the run time over all results of the server; 0
			       before the first result */
	uint32_t samples;
	uint32_t failure_streak; /* refusals and failures since the last result, at most
				    MAX_FAILURE_STREAK */
};

/* Sum and number of the logarithms of the servers' factors. Their mean initializes new servers and
 * classes. */
struct speed_estimate_mean {
	double log_sum;
	uint32_t servers;
};

/* Initializes the estimate of a class with a declared or configured run time in
 * microseconds, or with a default when INITIAL_RUN_US is 0. The run time applies to a server of
 * mean factor. */
void learn_class_init(struct run_time_estimate *estimate, const struct speed_estimate_mean *mean,
		      int64_t initial_run_us);

/* Initializes a new server with the mean factor and adds it to the mean. */
void learn_server_init(struct speed_estimate *estimate, struct speed_estimate_mean *mean);

/* Removes a server from the mean. */
void learn_server_remove(const struct speed_estimate *estimate, struct speed_estimate_mean *mean);

/* Updates the estimates of the class and the server with the run time of one result. */
void learn_result(struct run_time_estimate *class, struct speed_estimate *server,
		  struct speed_estimate_mean *mean, int64_t run_us);

/* Records a refusal or failure of a task by the server. */
void learn_failure(struct speed_estimate *server);

/* Returns the factor used for placement: the learned factor, doubled for each refusal or failure
 * since the last result, at most 5 times. */
double learn_placement_factor(const struct speed_estimate *server);

/* Returns the learned factor relative to the geometric mean of all servers. */
double learn_relative_factor(const struct speed_estimate *server,
			     const struct speed_estimate_mean *mean);

#endif
