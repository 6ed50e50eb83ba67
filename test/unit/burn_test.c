#include "burn.h"

#include <glib.h>

#include "core_defs.h"

static const struct burn_objectives objectives = {
	.ratio_target = 2, .objective = 0.9, .waste_target = 0.5};

/* Guards against wrong burn rates: with an error budget of 0.1, one slow job in ten gives a
 * latency burn rate of 1, and one failed job in ten a failure burn rate of 1. */
static void test_rates(void)
{
	struct burn *burn = burn_new(&objectives);
	struct burn_window windows[BURN_WINDOWS];

	for (int i = 0; i < 8; i++)
		burn_record_job(burn, 2, 2000, 1000, 0, 1);
	burn_record_job(burn, 2, 4000, 1000, 0, 1);
	burn_record_job(burn, 2, 9000, 1000, 1, 1);
	burn_record_wasted(burn, 20, 1);
	burn_report(burn, 1, windows);
	g_assert_cmpuint(windows[0].jobs, ==, 10);
	g_assert_cmpuint(windows[0].slow_jobs, ==, 1);
	g_assert_cmpuint(windows[0].failed_jobs, ==, 1);
	g_assert_cmpfloat_with_epsilon(windows[0].mean_ratio, 20.0 / 9, 1e-9);
	g_assert_cmpfloat_with_epsilon(windows[0].latency_burn, 1, 1e-9);
	g_assert_cmpfloat_with_epsilon(windows[0].failure_burn, 1, 1e-9);
	g_assert_cmpfloat_with_epsilon(windows[0].waste_burn, 2, 1e-9);
	burn_free(burn);
}

/* Guards against counting events after their window has passed, even if no later event
 * has reused their bucket. */
static void test_windows_expire(void)
{
	struct burn *burn = burn_new(&objectives);
	struct burn_window windows[BURN_WINDOWS];
	const int64_t hours[] = {0, 7};

	burn_record_job(burn, 1, 1000, 1000, 0, 0);
	burn_report(burn, (int64_t)301 * US_PER_SECOND, windows);
	g_assert_cmpuint(windows[0].jobs, ==, 0);
	g_assert_cmpuint(windows[1].jobs, ==, 1);
	g_assert_cmpuint(windows[2].jobs, ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(hours); i++) {
		burn_report(burn, (hours[i] * 3600 + 3601) * US_PER_SECOND, windows);
		g_assert_cmpuint(windows[1].jobs, ==, 0);
		g_assert_cmpuint(windows[2].jobs, ==, hours[i] == 0);
	}
	burn_free(burn);
}

/* Guards against divisions by zero in an empty report: JSON has neither infinity nor NaN. */
static void test_empty(void)
{
	struct burn_objectives none = {.ratio_target = 1, .objective = 1, .waste_target = 0};
	struct burn *burn = burn_new(&none);
	struct burn_window windows[BURN_WINDOWS];

	burn_report(burn, 0, windows);
	g_assert_cmpfloat(windows[2].mean_ratio, ==, 0);
	burn_record_job(burn, 0, 1, 0, 1, 0);
	burn_record_wasted(burn, 1, 0);
	burn_report(burn, 0, windows);
	g_assert_cmpfloat(windows[2].failure_burn, <, 1e12);
	g_assert_cmpfloat(windows[2].waste_burn, <, 1e12);
	burn_free(burn);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/burn/rates", test_rates);
	g_test_add_func("/burn/windows-pass", test_windows_expire);
	g_test_add_func("/burn/empty", test_empty);
	return g_test_run();
}
