#include "scheduler_learn.h"

#include <math.h>

enum {
	DEFAULT_RUN_US = 200000, /* of a class without any declared run time */
	EARLY_SAMPLES = 8,
	MAX_STREAK = 5,
	MEAN_RUN_SHARE = 8, /* one result moves a server's mean run time by 1/8 */
	MEAN_RUN_CLIP = 4
};

/* Weight of one result once many were seen. The class sees results of all servers, so that a
 * lower weight suffices. */
static const double class_least_weight = 0.05;
static const double server_least_weight = 0.1;

/* Largest logarithmic error that one result may show. A declared value may be off by 10 times, so
 * the first results may correct more than that (log 16); later a straggler counts as 3 times its
 * expected time at most (log 3). */
static const double early_clip = 2.7725887222397811;
static const double late_clip = 1.0986122886681098;

/* A factor stays within 64 times of the mean (log 64). */
static const double max_log_factor = 4.1588830833596715;

static double clamp(double value, double bound)
{
	return fmin(fmax(value, -bound), bound);
}

static double mean_log(const struct learn_scale *scale)
{
	return scale->servers > 0 ? scale->log_sum / scale->servers : 0;
}

static double weight(uint32_t samples, double least)
{
	return fmax(1.0 / (samples + 1.0), least);
}

static double clipped(double error, uint32_t samples)
{
	return clamp(error, samples < EARLY_SAMPLES ? early_clip : late_clip);
}

void learn_class_init(struct learn_class *learned, const struct learn_scale *scale,
		      int64_t declared_us)
{
	double run = (double)(declared_us > 0 ? declared_us : DEFAULT_RUN_US);

	learned->log_run = log(run) - mean_log(scale);
	learned->run_us = exp(learned->log_run);
	learned->samples = 0;
}

void learn_server_init(struct learn_server *learned, struct learn_scale *scale)
{
	*learned = (struct learn_server){.log_factor = mean_log(scale)};
	learned->factor = exp(learned->log_factor);
	scale->log_sum += learned->log_factor;
	scale->servers++;
}

void learn_server_end(const struct learn_server *learned, struct learn_scale *scale)
{
	scale->servers--;
	scale->log_sum = scale->servers > 0 ? scale->log_sum - learned->log_factor : 0;
}

static void learn_mean_run(struct learn_server *server, double run)
{
	if (server->mean_run_us <= 0) {
		server->mean_run_us = run;
		return;
	}
	run = fmin(run, server->mean_run_us * MEAN_RUN_CLIP);
	server->mean_run_us += (run - server->mean_run_us) / MEAN_RUN_SHARE;
}

/*
 * The logarithm of observed over expected run time is shared out between class and server. Each
 * takes the more the fewer results it has seen, and both together at most the whole error.
 */
void learn_result(struct learn_class *class, struct learn_server *server, struct learn_scale *scale,
		  int64_t run_us)
{
	double run = (double)(run_us > 0 ? run_us : 1);
	double error = log(run) - class->log_run - server->log_factor;
	double class_weight = weight(class->samples, class_least_weight);
	double server_weight = (1 - class_weight) * weight(server->samples, server_least_weight);
	double mean = mean_log(scale);
	double before = server->log_factor;

	class->log_run += class_weight * clipped(error, class->samples);
	class->run_us = exp(class->log_run);
	class->samples++;

	server->log_factor += server_weight * clipped(error, server->samples);
	server->log_factor = mean + clamp(server->log_factor - mean, max_log_factor);
	server->factor = exp(server->log_factor);
	server->samples++;
	server->streak = 0;
	scale->log_sum += server->log_factor - before;
	learn_mean_run(server, run);
}

void learn_setback(struct learn_server *server)
{
	if (server->streak < MAX_STREAK)
		server->streak++;
}

double learn_placement_factor(const struct learn_server *server)
{
	return server->factor * (double)(1U << server->streak);
}

double learn_relative_factor(const struct learn_server *server, const struct learn_scale *scale)
{
	return exp(server->log_factor - mean_log(scale));
}
