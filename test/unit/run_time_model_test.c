#include <glib.h>
#include <math.h>

#include "run_time_model.h"

enum {
	SEED = 5,
	RUNS = 400,
	TRUE_US = 200000
};

static double normal(GRand *rand)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(rand);
	return sum;
}

/* Guards against predictions that do not correct wrong declarations. The declared run times are
 * three times too long and vary widely. The prediction must be closer to the truth than the
 * declaration, and the mean error of its natural logarithm at most 0.35. That is a factor of 1.42,
 * or about a fifth of an objective of 1.6 times the run time. */
static void test_learns(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct run_time_model model;
	double declared_error = 0, predicted_error = 0;

	run_time_model_init(&model);
	for (int i = 0; i < RUNS; i++) {
		int64_t true_us = (int64_t)(TRUE_US * exp(0.4 * normal(rand)));
		int64_t declared_us = (int64_t)((double)true_us * 3 * exp(0.4 * normal(rand)));
		int64_t predicted_us = run_time_model_predict(&model, declared_us);

		if (i >= RUNS / 4) {
			declared_error += fabs(log((double)declared_us / (double)true_us));
			predicted_error += fabs(log((double)predicted_us / (double)true_us));
		}
		run_time_model_record(&model, declared_us, true_us);
	}
	declared_error /= RUNS * 3 / 4.0;
	predicted_error /= RUNS * 3 / 4.0;
	g_test_message("mean error %.2f declared, %.2f predicted", declared_error, predicted_error);
	g_assert_cmpfloat(predicted_error, <=, 0.35);
	g_assert_cmpfloat(predicted_error, <, declared_error);
	g_rand_free(rand);
}

/* Guards against predictions other than the declared time while there are no samples. */
static void test_without_samples(void)
{
	struct run_time_model model;

	run_time_model_init(&model);
	g_assert_cmpint(run_time_model_predict(&model, 12345), ==, 12345);
	g_assert_cmpint(run_time_model_predict(&model, 0), ==, 0);
}

/* Guards against a wrong estimate of the longest task: the expected maximum of eight standard
 * normal variables is 1.42. */
static void test_longest(void)
{
	g_assert_cmpint(run_time_model_longest(100000, 1), ==, 100000);
	g_assert_cmpint(
		llabs(run_time_model_longest(100000, 8) - (int64_t)(100000 * exp(0.15 * 1.42))), <,
		1000);
	g_assert_cmpint(run_time_model_longest(100000, 100), >, run_time_model_longest(100000, 8));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/runtime/learns", test_learns);
	g_test_add_func("/runtime/without_samples", test_without_samples);
	g_test_add_func("/runtime/longest", test_longest);
	return g_test_run();
}
