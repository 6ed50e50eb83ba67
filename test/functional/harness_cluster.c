#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
	DEFAULT_SLOTS = 8,
	DEFAULT_CONNECTIONS = 60,
	DEFAULT_ENTRIES = 2,
	DEFAULT_AGENTS = 2,
	NAME_BUFFER_BYTES = 48,
	TEXT_BUFFER_BYTES = 64,
	STOP_TIMEOUT_MS = 40000, /* exceeds the daemon's limit for a graceful stop */
};

static char *write_settings(struct harness *harness, const char *name, json_t *settings,
			    const char *overrides)
{
	char *file = g_strdup_printf("%s/%s.json", harness->directory, name);
	json_t *extra = overrides ? json_loads(overrides, 0, NULL) : json_object();

	if (!extra)
		g_error("settings are not valid JSON: %s", overrides);
	json_object_update_recursive(settings, extra);
	g_assert_cmpint(json_dump_file(settings, file, JSON_INDENT(1)), ==, 0);
	json_decref(extra);
	json_decref(settings);
	return file;
}

static struct harness_process *spawn_daemon(struct harness *harness, const char *name,
					    json_t *settings, const char *overrides)
{
	char *file = write_settings(harness, name, settings, overrides);
	const char *argv[] = {GG_BUILD_DIR "/packages/greengaged/greengaged", "--settings", file,
			      NULL};
	struct harness_process *process = harness_spawn(harness, name, argv);

	g_free(file);
	return process;
}

static void start_log(struct harness *harness)
{
	GPtrArray *argv = g_ptr_array_new();
	const char *const *log_options = harness->options.log_options;
	char port[TEXT_BUFFER_BYTES];

	/* The port is fixed so that a restarted log has the same address. */
	harness->log_port = harness_reserve_port();
	g_snprintf(port, sizeof(port), "%d", harness->log_port);
	g_ptr_array_add(argv, GG_BUILD_DIR "/test/standin/standin_log");
	g_ptr_array_add(argv, "--port");
	g_ptr_array_add(argv, port);
	for (int i = 0; log_options && log_options[i]; i++)
		g_ptr_array_add(argv, (char *)log_options[i]);
	g_ptr_array_add(argv, NULL);
	harness->log = harness_spawn(harness, "log", (const char *const *)argv->pdata);
	harness_wait_listening(harness->log);
	g_ptr_array_free(argv, TRUE);
}

static void choose_ports(struct harness *harness)
{
	for (unsigned i = 0; i < harness->options.entries; i++) {
		struct harness_entry *entry = &harness->entries[i];

		entry->http_port = harness_reserve_port();
		entry->channel_port = harness_reserve_port();
		g_snprintf(entry->url, sizeof(entry->url), "http://127.0.0.1:%d", entry->http_port);
	}
	for (unsigned i = 0; i < harness->options.agents; i++) {
		struct harness_agent *agent = &harness->agents[i];

		agent->http_port = harness_reserve_port();
		agent->server_port = harness_reserve_port();
		g_snprintf(agent->url, sizeof(agent->url), "http://127.0.0.1:%d", agent->http_port);
		g_snprintf(agent->server_url, sizeof(agent->server_url), "http://127.0.0.1:%d",
			   agent->server_port);
	}
}

static void add_route(GPtrArray *argv, const char *name, int target)
{
	g_ptr_array_add(argv, g_strdup("--route"));
	g_ptr_array_add(argv, g_strdup_printf("%s:0:%d", name, target));
}

/* Starts the proxy with these routes: "log", "agentN-entryM" and "entryN-entryM" for the channels,
 * "serverN" for calls to backend server N, "announceN" for its announcements to its agent. */
static void start_proxy(struct harness *harness)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char name[NAME_BUFFER_BYTES];

	g_ptr_array_add(argv, g_strdup(GG_BUILD_DIR "/test/standin/standin_proxy"));
	if (harness->log)
		add_route(argv, "log", harness->log_port);
	for (unsigned k = 0; k < harness->options.entries; k++) {
		for (unsigned i = 0; i < harness->options.agents; i++) {
			g_snprintf(name, sizeof(name), "agent%u-entry%u", i, k);
			add_route(argv, name, harness->entries[k].channel_port);
		}
		for (unsigned i = 0; i < harness->options.entries; i++) {
			g_snprintf(name, sizeof(name), "entry%u-entry%u", i, k);
			add_route(argv, name, harness->entries[k].channel_port);
		}
	}
	for (unsigned i = 0; i < harness->options.agents; i++) {
		g_snprintf(name, sizeof(name), "server%u", i);
		add_route(argv, name, harness->agents[i].server_port);
		g_snprintf(name, sizeof(name), "announce%u", i);
		add_route(argv, name, harness->agents[i].http_port);
	}
	g_ptr_array_add(argv, NULL);
	harness->proxy = harness_spawn(harness, "proxy", (const char *const *)argv->pdata);
	harness->proxy_control_port = harness_wait_listening(harness->proxy);
	g_ptr_array_free(argv, TRUE);
}

/* Returns the port of the proxy's route NAME, or DIRECT_PORT if there is no proxy. */
static int route_port(const struct harness *harness, const char *name, int direct_port)
{
	char *prefix = g_strdup_printf("route %s ", name);
	char *text = NULL;
	char *route_line;
	int port = direct_port;

	if (harness->proxy) {
		g_assert_true(g_file_get_contents(harness->proxy->stdout_file, &text, NULL, NULL));
		route_line = strstr(text, prefix);
		g_assert_nonnull(route_line);
		port = atoi(route_line + strlen(prefix));
	}
	g_free(text);
	g_free(prefix);
	return port;
}

static json_t *channel_address(const struct harness *harness, const char *source_role,
			       unsigned index, unsigned entry)
{
	char name[NAME_BUFFER_BYTES];
	int direct_port = harness->entries[entry].channel_port;

	g_snprintf(name, sizeof(name), "%s%u-entry%u", source_role, index, entry);
	return json_sprintf("tcp://127.0.0.1:%d", route_port(harness, name, direct_port));
}

static void start_entry(struct harness *harness, unsigned index)
{
	struct harness_entry *entry = &harness->entries[index];
	json_t *peers = json_array();
	json_t *settings;
	char name[NAME_BUFFER_BYTES];

	for (unsigned i = 0; i < harness->options.entries; i++) {
		if (i != index)
			json_array_append_new(peers, channel_address(harness, "entry", index, i));
	}
	g_snprintf(name, sizeof(name), "entry%u", index);
	settings = json_pack("{s:s, s:s, s:o, s:s, s:{s:o}, s:{s:o, s:o}}", "role", "entry", "name",
			     name, "zone", json_sprintf("zone%u", index % 3), "host", name, "http",
			     "address", json_sprintf("127.0.0.1:%d", entry->http_port), "channel",
			     "address", json_sprintf("tcp://127.0.0.1:%d", entry->channel_port),
			     "peers", peers);
	if (harness->log)
		json_object_set_new(
			settings, "log",
			json_pack("{s:o}", "url",
				  json_sprintf("http://127.0.0.1:%d",
					       route_port(harness, "log", harness->log_port))));
	entry->process = spawn_daemon(harness, name, settings, harness->options.entry_settings);
}

static void start_agent(struct harness *harness, unsigned index)
{
	struct harness_agent *agent = &harness->agents[index];
	const char *zone = harness->options.zones[index];
	json_t *entries = json_array();
	json_t *settings;
	char name[NAME_BUFFER_BYTES];

	for (unsigned i = 0; i < harness->options.entries; i++)
		json_array_append_new(entries, channel_address(harness, "agent", index, i));
	g_snprintf(name, sizeof(name), "agent%u", index);
	settings = json_pack(
		"{s:s, s:s, s:o, s:s, s:{s:o}, s:{s:o}}", "role", "agent", "name", name, "zone",
		zone ? json_string(zone) : json_sprintf("zone%u", index % 3), "host", name, "http",
		"address", json_sprintf("127.0.0.1:%d", agent->http_port), "channel", "entries",
		entries);
	agent->process = spawn_daemon(harness, name, settings, harness->options.agent_settings);
}

static void start_server(struct harness *harness, unsigned index)
{
	const struct harness_options *options = &harness->options;
	struct harness_agent *agent = &harness->agents[index];
	char name[NAME_BUFFER_BYTES];
	char port[TEXT_BUFFER_BYTES];
	char slots[TEXT_BUFFER_BYTES];
	char connections[TEXT_BUFFER_BYTES];
	char speed[TEXT_BUFFER_BYTES];
	char announced_port[TEXT_BUFFER_BYTES];
	char agent_url[TEXT_BUFFER_BYTES];
	char route[NAME_BUFFER_BYTES];
	const char *labels = options->labels[index];
	const char *program = GG_BUILD_DIR "/test/standin/standin_server";
	const char *argv[] = {program,	      "--port",
			      port,	      "--id",
			      name,	      "--agent",
			      agent_url,      "--slots",
			      slots,	      "--connections",
			      connections,    "--speed",
			      speed,	      "--announce-port",
			      announced_port, labels ? "--labels" : NULL,
			      labels,	      NULL};

	g_snprintf(name, sizeof(name), "server%u", index);
	g_snprintf(port, sizeof(port), "%d", agent->server_port);
	g_snprintf(slots, sizeof(slots), "%u", options->slots);
	g_snprintf(connections, sizeof(connections), "%u", options->connections);
	g_ascii_formatd(speed, sizeof(speed), "%g",
			options->time_factors[index] > 0 ? options->time_factors[index] : 1);
	g_snprintf(route, sizeof(route), "announce%u", index);
	g_snprintf(agent_url, sizeof(agent_url), "http://127.0.0.1:%d",
		   route_port(harness, route, agent->http_port));
	g_snprintf(announced_port, sizeof(announced_port), "%d",
		   route_port(harness, name, agent->server_port));
	agent->server = harness_spawn(harness, name, argv);
}

void harness_wait_ready(const char *url)
{
	char *full = g_strconcat(url, "/readyz", NULL);
	struct harness_reply reply = {0};

	HARNESS_WAIT(HARNESS_START_TIMEOUT_MS,
		     (harness_reply_clear(&reply),
		      reply = harness_http("GET", full, NULL, HARNESS_START_TIMEOUT_MS),
		      reply.status == 200));
	harness_reply_clear(&reply);
	g_free(full);
}

void harness_wait_connected(struct harness *harness, unsigned entries)
{
	for (unsigned i = 0; i < harness->options.agents; i++) {
		const struct harness_agent *agent = &harness->agents[i];

		if (!agent->process->child)
			continue;
		HARNESS_WAIT(HARNESS_START_TIMEOUT_MS,
			     harness_metric(agent->url, "entries_connected") >= entries);
	}
}

static void apply_defaults(struct harness_options *options)
{
	if (!options->entries)
		options->entries = DEFAULT_ENTRIES;
	if (!options->agents)
		options->agents = DEFAULT_AGENTS;
	if (!options->slots)
		options->slots = DEFAULT_SLOTS;
	if (!options->connections)
		options->connections = MAX(DEFAULT_CONNECTIONS, options->slots);
	g_assert_cmpuint(options->entries, <=, HARNESS_MAX_ENTRIES);
	g_assert_cmpuint(options->agents, <=, HARNESS_MAX_AGENTS);
}

struct harness *harness_start(const struct harness_options *options)
{
	struct harness *harness = harness_new();

	harness->options = *options;
	apply_defaults(&harness->options);
	choose_ports(harness);
	if (!options->without_log)
		start_log(harness);
	if (options->with_proxy)
		start_proxy(harness);
	for (unsigned i = 0; i < harness->options.entries && !options->external_entries; i++)
		start_entry(harness, i);
	for (unsigned i = 0; i < harness->options.agents; i++) {
		start_agent(harness, i);
		start_server(harness, i);
	}
	for (unsigned i = 0; i < harness->options.agents; i++)
		harness_wait_ready(harness->agents[i].url);
	if (options->external_entries)
		return harness;
	for (unsigned i = 0; i < harness->options.entries; i++)
		harness_wait_ready(harness->entries[i].url);
	harness_wait_connected(harness, harness->options.entries);
	return harness;
}

static void check_stopped(struct harness_process *process)
{
	int status;

	if (!process->child)
		return;
	status = harness_wait_exit(process, STOP_TIMEOUT_MS);
	if (status != 0)
		g_error("%s exited with status %d instead of 0", process->name, status);
}

void harness_stop(struct harness *harness)
{
	const struct harness_options *options = &harness->options;

	for (unsigned i = 0; i < options->entries; i++)
		harness_signal(harness->entries[i].process, SIGTERM);
	for (unsigned i = 0; i < options->entries; i++)
		check_stopped(harness->entries[i].process);
	for (unsigned i = 0; i < options->agents; i++)
		harness_signal(harness->agents[i].server, SIGTERM);
	for (unsigned i = 0; i < options->agents; i++)
		check_stopped(harness->agents[i].server);
	for (unsigned i = 0; i < options->agents; i++)
		harness_signal(harness->agents[i].process, SIGTERM);
	for (unsigned i = 0; i < options->agents; i++)
		check_stopped(harness->agents[i].process);
}

char *harness_proxy_command(struct harness *harness, const char *line)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection;
	GDataInputStream *input;
	char *request = g_strconcat(line, "\n", NULL);
	char *response;

	g_socket_client_set_enable_proxy(client, FALSE);
	connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", (guint16)harness->proxy_control_port, NULL, NULL);
	g_assert_nonnull(connection);
	g_assert_true(
		g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection)),
					  request, strlen(request), NULL, NULL, NULL));
	input = g_data_input_stream_new(g_io_stream_get_input_stream(G_IO_STREAM(connection)));
	response = g_data_input_stream_read_line(input, NULL, NULL, NULL);
	g_assert_nonnull(response);
	g_object_unref(input);
	g_object_unref(connection);
	g_object_unref(client);
	g_free(request);
	return response;
}
