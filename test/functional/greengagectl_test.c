/* Tests greengagectl against a real cluster. */
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	TASKS = 5,
	SEED = 11
};

/* Exit code, standard output and standard error of one run of greengagectl. */
struct command_result {
	int exit_code;
	char *output;
	char *errors;
};

static struct harness *harness;

/* Runs greengagectl with ARGS, separated by spaces, and INPUT on standard input. ENTRIES is
 * passed in the environment variable GREENGAGE_ENTRY. */
static struct command_result run_command(const char *entries, const char *args, const char *input)
{
	char *command_line =
		g_strdup_printf("%s/packages/greengagectl/greengagectl %s", GG_BUILD_DIR, args);
	char **argv = g_strsplit(command_line, " ", -1);
	GSubprocessLauncher *launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDIN_PIPE |
								  G_SUBPROCESS_FLAGS_STDOUT_PIPE |
								  G_SUBPROCESS_FLAGS_STDERR_PIPE);
	struct command_result result = {0};
	GSubprocess *process;

	g_subprocess_launcher_setenv(launcher, "GREENGAGE_ENTRY", entries, TRUE);
	process = g_subprocess_launcher_spawnv(launcher, (const char *const *)argv, NULL);
	g_assert_nonnull(process);
	g_assert_true(g_subprocess_communicate_utf8(process, input, NULL, &result.output,
						    &result.errors, NULL));
	result.exit_code = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	g_object_unref(launcher);
	g_strfreev(argv);
	g_free(command_line);
	return result;
}

static void command_result_clear(struct command_result *result)
{
	g_free(result->output);
	g_free(result->errors);
}

/* Runs a command that must succeed and print every string of EXPECTED (NULL-terminated). */
static void expect_output(const char *args, const char *input, const char *const *expected)
{
	struct command_result result = run_command(harness->entries[0].url, args, input);

	if (result.exit_code != 0)
		g_error("%s: exit code %d: %s%s", args, result.exit_code, result.output,
			result.errors);
	for (; *expected; expected++) {
		if (!strstr(result.output, *expected))
			g_error("%s: no \"%s\" in: %s", args, *expected, result.output);
	}
	command_result_clear(&result);
}

/* Guards against a second run, or a different answer, when a job is resubmitted through another
 * entry with the session token that greengagectl printed and the same key. */
static void test_resubmission(void)
{
	char *job = harness_job(TASKS, 10, 20, SEED);
	struct command_result first =
		run_command(harness->entries[0].url, "submit --key k1 --json", job);
	char *session = g_strndup(first.errors + strlen("session: "),
				  strcspn(first.errors + strlen("session: "), "\n"));
	char *args = g_strdup_printf("submit --session %s --key k1 --json", session);
	struct command_result second = run_command(harness->entries[1].url, args, job);
	struct harness_start_counts starts;

	g_assert_cmpint(first.exit_code, ==, 0);
	g_assert_cmpint(second.exit_code, ==, 0);
	g_assert_cmpstr(first.output, ==, second.output);
	starts = harness_count_starts(harness);
	g_assert_cmpuint(starts.total, ==, TASKS);
	command_result_clear(&first);
	command_result_clear(&second);
	g_free(args);
	g_free(session);
	g_free(job);
}

/* Guards against operator commands that send requests which an entry refuses, or that misread
 * responses. */
static void test_operator_commands(void)
{
	struct command_result result;

	expect_output("config patch --base 0 --author ann", "{\"teams\":{\"t\":{\"weight\":2}}}",
		      (const char *const[]){"version 1, record ", NULL});
	result = run_command(harness->entries[0].url, "config patch --base 0", "{}");
	g_assert_cmpint(result.exit_code, ==, 1);
	g_assert_nonnull(strstr(result.errors, "version_conflict, outcome not_run"));
	command_result_clear(&result);
	result = run_command(harness->entries[0].url, "config patch",
			     "{\"teams\":{\"t\":{\"wait\":2}}}");
	g_assert_cmpint(result.exit_code, ==, 1);
	g_assert_nonnull(strstr(result.errors, "teams.t.wait: unknown key"));
	command_result_clear(&result);
	expect_output("drain --zone elsewhere --host h9", "",
		      (const char *const[]){"version 2, record ", NULL});
	expect_output("config get --json", "",
		      (const char *const[]){"\"hosts\":[\"h9\"]", "\"zones\":[\"elsewhere\"]",
					    "\"version\":2", NULL});
	expect_output("undrain --host h9", "", (const char *const[]){"version 3", NULL});
	expect_output("config history", "", (const char *const[]){"ann", "accepted", NULL});
	expect_output("members", "", (const char *const[]){"SERVER", "open", "self", NULL});
	expect_output("report", "", (const char *const[]){"LATENCY BURN", "21600", NULL});
}

/* Guards against greengagectl failing when the first entry refuses connections and the next one
 * works. */
static void test_failover(void)
{
	char *entries = g_strdup_printf("http://127.0.0.1:1 %s", harness->entries[1].url);
	struct command_result result = run_command(entries, "session open", NULL);
	char *args;

	g_assert_cmpint(result.exit_code, ==, 0);
	args = g_strdup_printf("session close %s", g_strchomp(result.output));
	command_result_clear(&result);
	result = run_command(entries, args, NULL);
	g_assert_cmpint(result.exit_code, ==, 0);
	command_result_clear(&result);
	g_free(args);
	g_free(entries);
}

int main(int argc, char **argv)
{
	int exit_code;

	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
	harness = harness_start(&(struct harness_options){.entries = 2, .agents = 2});
	g_test_add_func("/greengagectl/resubmission", test_resubmission);
	g_test_add_func("/greengagectl/operator-commands", test_operator_commands);
	g_test_add_func("/greengagectl/failover", test_failover);
	exit_code = g_test_run();
	harness_stop(harness);
	harness_free(harness);
	return exit_code;
}
