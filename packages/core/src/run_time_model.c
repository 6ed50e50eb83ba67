#include "run_time_model.h"

#include <glib.h>
#include <math.h>

static const double max_samples = 300;	  /* limits the weight of old samples */
static const double prior_slope = 0.5;	  /* slope of ln(measured) over ln(declared) in the prior */
static const double prior_variance = 0.3; /* variance of ln(declared) in the prior */
static const double prior_weight = 30;	  /* number of samples that the prior stands for */
static const double slope_max = 1.2;
static const double min_samples = 4; /* with fewer, the declared time is used unchanged */
static const double prior_error_variance = 0.25; /* of ln(measured / predicted) in the prior */
static const double margin_quantile = 1.645;	 /* standard normal quantile of 95 % */
static const double task_log_stddev = 0.15;	 /* of ln(run time) among the tasks of a job */

void run_time_model_init(struct run_time_model *model)
{
	*model = (struct run_time_model){0};
}

void run_time_model_record(struct run_time_model *model, int64_t declared_us, int64_t measured_us)
{
	double x = log((double)MAX(declared_us, 1));
	double y = log((double)MAX(measured_us, 1));
	double weight, dx, dy;

	model->samples = MIN(model->samples + 1, max_samples);
	weight = 1 / model->samples;
	dx = x - model->mean_declared;
	dy = y - model->mean_measured;
	model->mean_declared += weight * dx;
	model->mean_measured += weight * dy;
	model->var_declared = (1 - weight) * (model->var_declared + weight * dx * dx);
	model->var_measured = (1 - weight) * (model->var_measured + weight * dy * dy);
	model->covariance = (1 - weight) * (model->covariance + weight * dx * dy);
}

static double fitted_slope(const struct run_time_model *model)
{
	double slope =
		(model->covariance * model->samples + prior_slope * prior_variance * prior_weight) /
		(model->var_declared * model->samples + prior_variance * prior_weight);

	return CLAMP(slope, 0, slope_max);
}

int64_t run_time_model_predict(const struct run_time_model *model, int64_t declared_us)
{
	double x = log((double)MAX(declared_us, 1));

	if (model->samples < min_samples)
		return declared_us;
	return (int64_t)exp(model->mean_measured +
			    fitted_slope(model) * (x - model->mean_declared));
}

double run_time_model_margin(const struct run_time_model *model)
{
	double slope = fitted_slope(model);
	double variance =
		model->var_measured - slope * (2 * model->covariance - slope * model->var_declared);

	variance = (MAX(variance, 0) * model->samples + prior_error_variance * prior_weight) /
		   (model->samples + prior_weight);
	return exp(margin_quantile * sqrt(variance));
}

int64_t run_time_model_longest(int64_t task_us, uint32_t tasks)
{
	/* Expected maximum of n standard normal variables, by Blom's approximation. */
	double rank = tasks > 1 ? (tasks - 0.375) / (tasks + 0.25) : 0.5;
	double z = rank > 0.5 ? sqrt(-2 * log(1 - rank)) : 0;

	/* Rational approximation of the normal quantile, with an error below 0.0005. */
	if (z > 0)
		z -= (2.515517 + 0.802853 * z + 0.010328 * z * z) /
		     (1 + 1.432788 * z + 0.189269 * z * z + 0.001308 * z * z * z);
	return (int64_t)((double)task_us * exp(task_log_stddev * z));
}
