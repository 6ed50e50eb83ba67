/*
 * Prediction of the run times of a queue's tasks.
 *
 * Load pattern: declared run times are wrong by a factor of two or more in either direction, and
 * may be far too long or too short for a whole queue. The run time is predicted from the declared
 * one by linear regression on logarithms, fitted to the measured runs of the queue, scaled to a
 * typical server.
 */
#ifndef GG_RUN_TIME_MODEL_H
#define GG_RUN_TIME_MODEL_H

#include <stdint.h>

/* Running moments of ln(declared) and ln(measured). */
struct run_time_model {
	double samples; /* number of samples, up to a limit, so that old ones lose weight */
	double mean_declared;
	double mean_measured;
	double var_declared;
	double var_measured;
	double covariance;
};

void run_time_model_init(struct run_time_model *model);

/* Records a run that was declared to take DECLARED_US and took MEASURED_US, scaled to a typical
 * server. */
void run_time_model_record(struct run_time_model *model, int64_t declared_us, int64_t measured_us);

/* Returns the predicted (median) run time of a task on a typical server, or DECLARED_US while there
 * are too few samples. */
int64_t run_time_model_predict(const struct run_time_model *model, int64_t declared_us);

/* Returns the factor by which one run in twenty exceeds its prediction, or more. It follows from
 * the spread of the measured runs around the predictions, and is larger while there are few. */
double run_time_model_margin(const struct run_time_model *model);

/* Returns the expected run time of the longest of TASKS tasks with an expected run time of TASK_US
 * each. */
int64_t run_time_model_longest(int64_t task_us, uint32_t tasks);

#endif
