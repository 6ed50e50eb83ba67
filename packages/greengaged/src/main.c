#include <glib.h>
#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "agent.h"
#include "entry.h"
#include "event.h"
#include "node_agent.h"
#include "node_entry.h"

struct options {
	gboolean version;
	char *check_file;
	char *settings_file;
};

static bool parse_options(int argc, char **argv, struct options *options)
{
	const GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_file,
		 "Run with the settings in FILE", "FILE"},
		{"check-settings", 0, 0, G_OPTION_ARG_FILENAME, &options->check_file,
		 "Check the settings in FILE and exit", "FILE"},
		{"version", 0, 0, G_OPTION_ARG_NONE, &options->version,
		 "Print the version and exit", NULL},
		{0},
	};
	GOptionContext *context = g_option_context_new("- dispatcher for short tasks");
	GError *parse_error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(
		context, "Exit codes: 0 success, 1 runtime failure, 2 invalid usage or settings, "
			 "3 forced shutdown.");
	parsed = g_option_context_parse(context, &argc, &argv, &parse_error);
	if (parsed && argc > 1) {
		fprintf(stderr, "greengaged: unexpected argument %s\n", argv[1]);
		parsed = false;
	} else if (!parsed) {
		fprintf(stderr, "greengaged: %s\n", parse_error->message);
		g_error_free(parse_error);
	}
	g_option_context_free(context);
	return parsed;
}

/* Runs the daemon with settings of mode "platform"; see node_settings.h. */
static enum exit_code run_on_platform(const char *settings_file)
{
	struct node_settings settings;
	struct error err;
	enum exit_code code;

	if (node_settings_load(settings_file, &settings, &err) != STATUS_OK) {
		fprintf(stderr, "greengaged: %s\n", err.message);
		return EXIT_CODE_USAGE;
	}
	event_init(settings.name, settings.log_level);
	event_log(EVENT_PROCESS_STARTED, EV_S("role", settings.role), EV_S("version", GG_VERSION));
	code = strcmp(settings.role, "entry") == 0 ? node_entry_run(settings_file, &settings)
						   : node_agent_run(settings_file, &settings);
	event_log(EVENT_PROCESS_STOPPED, EV_I("exit_code", code));
	event_flush();
	node_settings_free(&settings);
	return code;
}

static enum exit_code run_daemon(const char *settings_file)
{
	struct daemon_settings settings;
	struct error err;
	enum exit_code code;

	if (node_settings_is_platform(settings_file))
		return run_on_platform(settings_file);
	if (daemon_settings_load(settings_file, &settings, &err) != STATUS_OK) {
		fprintf(stderr, "greengaged: %s\n", err.message);
		return EXIT_CODE_USAGE;
	}
	event_init(settings.name, settings.log_level);
	event_log(EVENT_PROCESS_STARTED, EV_S("role", settings.role), EV_S("version", GG_VERSION));
	code = strcmp(settings.role, "entry") == 0 ? entry_run(&settings) : agent_run(&settings);
	event_log(EVENT_PROCESS_STOPPED, EV_I("exit_code", code));
	event_flush();
	daemon_settings_free(&settings);
	return code;
}

static enum exit_code check_platform_settings(const char *settings_file)
{
	struct node_settings settings;
	struct error err;

	if (node_settings_load(settings_file, &settings, &err) != STATUS_OK) {
		fprintf(stderr, "greengaged: %s\n", err.message);
		return EXIT_CODE_USAGE;
	}
	printf("%s: settings are valid for the role %s on a platform\n", settings_file,
	       settings.role);
	node_settings_free(&settings);
	return EXIT_CODE_OK;
}

static enum exit_code check_settings(const char *settings_file)
{
	struct daemon_settings settings;
	struct error err;

	if (node_settings_is_platform(settings_file))
		return check_platform_settings(settings_file);
	if (daemon_settings_load(settings_file, &settings, &err) != STATUS_OK) {
		fprintf(stderr, "greengaged: %s\n", err.message);
		return EXIT_CODE_USAGE;
	}
	printf("%s: settings are valid for the role %s\n", settings_file, settings.role);
	daemon_settings_free(&settings);
	return EXIT_CODE_OK;
}

static int execute_options(const struct options *options)
{
	if (options->version) {
		printf("greengaged %s\n", GG_VERSION);
		return EXIT_CODE_OK;
	}
	if (options->check_file)
		return check_settings(options->check_file);
	if (!options->settings_file) {
		fprintf(stderr, "greengaged: --settings FILE is required; see --help\n");
		return EXIT_CODE_USAGE;
	}
	return run_daemon(options->settings_file);
}

int main(int argc, char **argv)
{
	struct options options = {0};
	int code = EXIT_CODE_USAGE;

	setlocale(LC_ALL, "");
	if (sodium_init() < 0)
		return EXIT_CODE_RUNTIME;
	if (parse_options(argc, argv, &options))
		code = execute_options(&options);
	g_free(options.settings_file);
	g_free(options.check_file);
	return code;
}
