/* The agent process: runs beside each backend server and connects it to the entries. */
#ifndef GG_NODE_AGENT_H
#define GG_NODE_AGENT_H

#include "daemon_defs.h"
#include "node_settings.h"

/*
 * Runs an agent with SETTINGS, which were read from SETTINGS_FILE, until SIGTERM or SIGINT is
 * received. The agent then waits for the runs at its server to end, at most until shortly before
 * the end of the grace period. Returns EXIT_CODE_RUNTIME when it cannot listen for the backend
 * server, after logging the error.
 */
enum exit_code node_agent_run(const char *settings_file, const struct node_settings *settings);

#endif
