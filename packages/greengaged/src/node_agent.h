/* The agent: beside each backend server, between it and the entries. */
#ifndef GG_NODE_AGENT_H
#define GG_NODE_AGENT_H

#include "daemon_defs.h"
#include "node_settings.h"

/* Runs until SIGTERM with SETTINGS, which were read from SETTINGS_FILE. */
enum exit_code node_agent_run(const char *settings_file, const struct node_settings *settings);

#endif
