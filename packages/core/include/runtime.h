/*
 * Learned run times of a queue's tasks.
 *
 * Load pattern: declared run times are off by a factor of two and more either way, and a whole
 * queue may be declared far too long or too short. The run time is predicted from the declared one
 * by a line in logarithms, fitted to what the queue's runs took on a typical server.
 */
#ifndef GG_RUNTIME_H
#define GG_RUNTIME_H

#include <stdint.h>

/* Running moments of ln(declared) and ln(measured). */
struct runtime {
	double samples; /* weight of what was learned, up to a limit, so that old ones fade */
	double mean_declared;
	double mean_measured;
	double var_declared;
	double covariance;
};

void runtime_init(struct runtime *runtime);

/* Records a run declared to take DECLARED_US that took MEASURED_US, scaled to a typical server. */
void runtime_learn(struct runtime *runtime, int64_t declared_us, int64_t measured_us);

/* Returns the expected run time of a task on a typical server; the declared one at first. */
int64_t runtime_predict(const struct runtime *runtime, int64_t declared_us);

/* Returns the expected time of the longest of TASKS tasks that are each expected to take TASK_US.
 */
int64_t runtime_longest(int64_t task_us, uint32_t tasks);

#endif
