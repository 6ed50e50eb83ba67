#include "scheduler_learn.h"

#include <math.h>

enum {
	DEFAULT_RUN_US = 200000, /* for a class without a declared or configured run time */
	EARLY_SAMPLES = 8,	 /* number of first results to which early_max_log_error applies */
	MAX_FAILURE_STREAK = 5,
	MEAN_RUN_DIVISOR = 8,  /* one result moves a server's mean run time by 1/8 */
	MEAN_RUN_MAX_RATIO = 4 /* cap on a run time, as a multiple of the mean */
};

/* Lower limits of the weight of one result, reached after many results. A class gets results from
 * all servers, so a lower weight suffices. */
static const double class_min_weight = 0.05;
static const double server_min_weight = 0.1;

/* Limits of the logarithmic error of one result. A declared run time may be off by a factor of 10,
 * so each of the first results may correct an estimate by more than that, a factor of 16 (log 16).
 * Later a straggler counts as at most 3 times its expected run time (log 3). */
static const double early_max_log_error = 2.7725887222397811;
static const double max_log_error = 1.0986122886681098;

/* A server's factor stays within a factor of 64 of the mean (log 64). */
static const double max_log_factor = 4.1588830833596715;

static double clamp(double value, double bound)
{
	return fmin(fmax(value, -bound), bound);
}

static double mean_log_factor(const struct speed_estimate_mean *mean)
{
	return mean->servers > 0 ? mean->log_sum / mean->servers : 0;
}

static double result_weight(uint32_t samples, double min_weight)
{
	return fmax(1.0 / (samples + 1.0), min_weight);
}

static double clamp_error(double error, uint32_t samples)
{
	return clamp(error, samples < EARLY_SAMPLES ? early_max_log_error : max_log_error);
}

void learn_class_init(struct run_time_estimate *estimate, const struct speed_estimate_mean *mean,
		      int64_t initial_run_us)
{
	double run = (double)(initial_run_us > 0 ? initial_run_us : DEFAULT_RUN_US);

	estimate->log_run = log(run) - mean_log_factor(mean);
	estimate->run_us = exp(estimate->log_run);
	estimate->samples = 0;
}

void learn_server_init(struct speed_estimate *estimate, struct speed_estimate_mean *mean)
{
	*estimate = (struct speed_estimate){.log_factor = mean_log_factor(mean)};
	estimate->factor = exp(estimate->log_factor);
	mean->log_sum += estimate->log_factor;
	mean->servers++;
}

void learn_server_remove(const struct speed_estimate *estimate, struct speed_estimate_mean *mean)
{
	mean->servers--;
	mean->log_sum = mean->servers > 0 ? mean->log_sum - estimate->log_factor : 0;
}

static void update_mean_run(struct speed_estimate *server, double run)
{
	if (server->mean_run_us <= 0) {
		server->mean_run_us = run;
		return;
	}
	run = fmin(run, server->mean_run_us * MEAN_RUN_MAX_RATIO);
	server->mean_run_us += (run - server->mean_run_us) / MEAN_RUN_DIVISOR;
}

/*
 * The error is the logarithm of the observed over the expected run time. It is divided between the
 * class and the server: the fewer results the class or the server has had, the larger its share,
 * and both shares together are at most the whole error.
 */
void learn_result(struct run_time_estimate *class, struct speed_estimate *server,
		  struct speed_estimate_mean *mean, int64_t run_us)
{
	double run = (double)(run_us > 0 ? run_us : 1);
	double error = log(run) - class->log_run - server->log_factor;
	double class_weight = result_weight(class->samples, class_min_weight);
	double server_weight =
		(1 - class_weight) * result_weight(server->samples, server_min_weight);
	double log_mean = mean_log_factor(mean);
	double before = server->log_factor;

	class->log_run += class_weight * clamp_error(error, class->samples);
	class->run_us = exp(class->log_run);
	class->samples++;

	server->log_factor += server_weight * clamp_error(error, server->samples);
	server->log_factor = log_mean + clamp(server->log_factor - log_mean, max_log_factor);
	server->factor = exp(server->log_factor);
	server->samples++;
	server->failure_streak = 0;
	mean->log_sum += server->log_factor - before;
	update_mean_run(server, run);
}

void learn_failure(struct speed_estimate *server)
{
	if (server->failure_streak < MAX_FAILURE_STREAK)
		server->failure_streak++;
}

double learn_placement_factor(const struct speed_estimate *server)
{
	return server->factor * (double)(1U << server->failure_streak);
}

double learn_relative_factor(const struct speed_estimate *server,
			     const struct speed_estimate_mean *mean)
{
	return exp(server->log_factor - mean_log_factor(mean));
}
