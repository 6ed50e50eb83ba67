#include <curl/curl.h>
#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

enum {
	DEFAULT_TIMEOUT_MS = 10000,
	DEFAULT_WAIT_MS = 60000,
	MAX_OPTION_MS = 3600000
};

static struct ctl_options options = {
	.timeout_ms = DEFAULT_TIMEOUT_MS, .wait_ms = DEFAULT_WAIT_MS, .base = -1};

static const GOptionEntry common_options[] = {
	{"entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &options.entries,
	 "Base URL of an entry. May be repeated; the entries are tried in order until one accepts "
	 "a connection (default: the URLs in $GREENGAGE_ENTRY, separated by spaces)",
	 "URL"},
	{"json", 'j', 0, G_OPTION_ARG_NONE, &options.json, "Print JSON on one line, for programs",
	 NULL},
	{"timeout-ms", 0, 0, G_OPTION_ARG_INT64, &options.timeout_ms,
	 "Timeout of a request, 100 to 3600000 (default: 10000)", "N"},
	{0},
};

static const GOptionEntry no_options[] = {{0}};

static const GOptionEntry submit_options[] = {
	{"session", 's', 0, G_OPTION_ARG_STRING, &options.session,
	 "Session token (default: a new session)", "TOKEN"},
	{"key", 'k', 0, G_OPTION_ARG_STRING, &options.key, "Job key (default: a new UUIDv7)",
	 "KEY"},
	{"claim", 0, 0, G_OPTION_ARG_NONE, &options.claim,
	 "Submit by key alone, without a session; the key must be a UUIDv7", NULL},
	{"wait-ms", 'w', 0, G_OPTION_ARG_INT64, &options.wait_ms,
	 "Time to wait for the job, 0 to 3600000 (default: 60000)", "N"},
	{0},
};

static const GOptionEntry job_options[] = {
	{"session", 's', 0, G_OPTION_ARG_STRING, &options.session,
	 "Session token (omit it if the job was submitted by key alone)", "TOKEN"},
	{"wait-ms", 'w', 0, G_OPTION_ARG_INT64, &options.wait_ms,
	 "Time to wait for the job, 0 to 3600000 (default: 60000)", "N"},
	{0},
};

static const GOptionEntry cancel_options[] = {
	{"session", 's', 0, G_OPTION_ARG_STRING, &options.session,
	 "Session token (omit it if the job was submitted by key alone)", "TOKEN"},
	{0},
};

static const GOptionEntry patch_options[] = {
	{"base", 'b', 0, G_OPTION_ARG_INT64, &options.base,
	 "Configuration version that the patch applies to (default: the current one)", "N"},
	{"author", 'a', 0, G_OPTION_ARG_STRING, &options.author,
	 "Author recorded in the history (default: the user name)", "NAME"},
	{0},
};

static const GOptionEntry drain_options[] = {
	{"server", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.servers,
	 "Backend server; may be repeated", "ID"},
	{"host", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.hosts, "Host; may be repeated", "NAME"},
	{"zone", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.zones,
	 "Availability zone; may be repeated", "NAME"},
	{"author", 'a', 0, G_OPTION_ARG_STRING, &options.author,
	 "Author recorded in the history (default: the user name)", "NAME"},
	{0},
};

struct command {
	const char *name; /* one word, or two separated by a space */
	const char *args; /* argument names for the usage line */
	const char *summary;
	guint args_min;
	guint args_max;
	bool is_local; /* sends no request to an entry */
	const GOptionEntry *option_entries;
	enum ctl_exit (*run)(const struct ctl_options *options, char **args);
};

static const struct command commands[] = {
	{"session open", "", "Open a session and print its token", 0, 0, false, no_options,
	 cmd_session_open},
	{"session close", "TOKEN", "Close a session permanently", 1, 1, false, no_options,
	 cmd_session_close},
	{"submit", "[FILE]", "Submit the job in FILE or on standard input and print its result", 0,
	 1, false, submit_options, cmd_submit},
	{"result", "KEY", "Wait for a job and print its result", 1, 1, false, job_options,
	 cmd_result},
	{"cancel", "KEY", "Cancel a job", 1, 1, false, cancel_options, cmd_cancel},
	{"config get", "", "Print the configuration and its version", 0, 0, false, no_options,
	 cmd_config_get},
	{"config patch", "[FILE]", "Apply the JSON merge patch in FILE or on standard input", 0, 1,
	 false, patch_options, cmd_config_patch},
	{"config history", "", "Print the recent configuration changes", 0, 0, false, no_options,
	 cmd_config_history},
	{"members", "", "Print the state of entries and agents", 0, 0, false, no_options,
	 cmd_members},
	{"drain", "", "Stop giving new work to servers, hosts or zones", 0, 0, false, drain_options,
	 cmd_drain},
	{"undrain", "", "Give new work to drained servers, hosts or zones again", 0, 0, false,
	 drain_options, cmd_undrain},
	{"evacuations", "",
	 "Print the evacuated zones; the entry's URL is that of its readiness address", 0, 0, false,
	 no_options, cmd_evacuations},
	{"report", "", "Print the burn rates of the service-level objectives", 0, 0, false,
	 no_options, cmd_report},
	{"settings check", "FILE", "Check a settings file of greengaged", 1, 1, true, no_options,
	 cmd_settings_check},
};

static const char exit_codes_help[] = "Exit codes: 0 success, 1 a request failed or was refused or "
				      "the job did not finish in time, 2 invalid usage, input or "
				      "settings, 4 the job failed or was cancelled.";

static char *describe_commands(void)
{
	GString *text = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *usage = g_strdup_printf("%s %s", commands[i].name, commands[i].args);

		g_string_append_printf(text, "  %-22s %s\n", usage, commands[i].summary);
		g_free(usage);
	}
	g_string_append_printf(text,
			       "\n\"greengagectl COMMAND --help\" shows the options of a command.\n"
			       "%s",
			       exit_codes_help);
	return g_string_free(text, FALSE);
}

static enum ctl_exit print_usage_error(const char *format, const char *value)
{
	fprintf(stderr, "greengagectl: ");
	fprintf(stderr, format, value);
	fprintf(stderr, "; see --help\n");
	return CTL_EXIT_USAGE;
}

/* Parses the common options and, unless COMMAND is NULL, the options of COMMAND. If COMMAND is
 * NULL, stops at the first argument that is not an option. Removes the parsed options from ARGV.
 * Returns false after printing an error. */
static bool parse_options(int *argc, char ***argv, const struct command *command)
{
	char *usage = command ? g_strdup_printf("%s %s", command->name, command->args)
			      : g_strdup("COMMAND");
	char *description = command ? g_strdup(exit_codes_help) : describe_commands();
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	bool parsed;

	g_option_context_set_strict_posix(context, command == NULL);
	g_option_context_add_main_entries(context, common_options, NULL);
	if (command) {
		g_option_context_set_summary(context, command->summary);
		g_option_context_add_main_entries(context, command->option_entries, NULL);
	}
	g_option_context_set_description(context, description);
	parsed = g_option_context_parse(context, argc, argv, &error);
	if (!parsed) {
		print_usage_error("%s", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	g_free(description);
	g_free(usage);
	return parsed;
}

/* Returns the command whose name is at the start of WORDS, or NULL. *NAME_WORDS is set to the
 * number of words in the name. */
static const struct command *find_command(char **words, int *name_words)
{
	char *first_two_words = words[1] ? g_strdup_printf("%s %s", words[0], words[1]) : NULL;
	const struct command *found = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(commands) && !found; i++) {
		bool has_two_words = g_strcmp0(commands[i].name, first_two_words) == 0;

		if (!has_two_words && g_strcmp0(commands[i].name, words[0]) != 0)
			continue;
		found = &commands[i];
		*name_words = has_two_words ? 2 : 1;
	}
	g_free(first_two_words);
	return found;
}

/* Splits TEXT at spaces and leaves out empty parts. The caller frees the result. */
static char **split_urls(const char *text)
{
	char **urls = g_strsplit(text, " ", -1);
	size_t kept = 0;

	for (size_t i = 0; urls[i]; i++) {
		if (*urls[i])
			urls[kept++] = urls[i];
		else
			g_free(urls[i]);
	}
	urls[kept] = NULL;
	return urls;
}

/* Takes the entries from GREENGAGE_ENTRY if none is given, and checks the options. Returns false
 * after printing an error. */
static bool complete_options(const struct command *command)
{
	const char *entry_urls = g_getenv("GREENGAGE_ENTRY");

	if (!options.entries && entry_urls)
		options.entries = split_urls(entry_urls);
	if (!command->is_local &&
	    (!options.entries || !options.entries[0] || !*options.entries[0])) {
		print_usage_error("%s: --entry URL or GREENGAGE_ENTRY is required", command->name);
		return false;
	}
	if (options.timeout_ms < 100 || options.timeout_ms > MAX_OPTION_MS) {
		print_usage_error("%s", "--timeout-ms must be between 100 and 3600000");
		return false;
	}
	if (options.wait_ms < 0 || options.wait_ms > MAX_OPTION_MS) {
		print_usage_error("%s", "--wait-ms must be between 0 and 3600000");
		return false;
	}
	if (options.claim && options.session) {
		print_usage_error("%s", "--claim and --session cannot be used together");
		return false;
	}
	return true;
}

static enum ctl_exit run(int argc, char **argv)
{
	const struct command *command;
	guint arg_count;
	int name_words;

	if (!parse_options(&argc, &argv, NULL))
		return CTL_EXIT_USAGE;
	if (argc < 2)
		return print_usage_error("%s", "a command is required");
	command = find_command(argv + 1, &name_words);
	if (!command)
		return print_usage_error("unknown command \"%s\"", argv[1]);
	argc -= name_words;
	argv += name_words;
	argv[0] = "greengagectl";
	if (!parse_options(&argc, &argv, command))
		return CTL_EXIT_USAGE;
	arg_count = (guint)argc - 1;
	if (arg_count < command->args_min || arg_count > command->args_max)
		return print_usage_error("%s: wrong number of arguments", command->name);
	if (!complete_options(command))
		return CTL_EXIT_USAGE;
	return command->run(&options, argv + 1);
}

int main(int argc, char **argv)
{
	enum ctl_exit code;

	setlocale(LC_ALL, "");
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return CTL_EXIT_FAILED;
	code = run(argc, argv);
	curl_global_cleanup();
	return code;
}
