/* The agent: beside each backend server, between it and the entries. */
#ifndef GG_NODE_AGENT_H
#define GG_NODE_AGENT_H

#include "daemon_defs.h"
#include "node_settings.h"

/* Runs until SIGTERM. */
enum exit_code node_agent_run(const struct node_settings *settings);

#endif
