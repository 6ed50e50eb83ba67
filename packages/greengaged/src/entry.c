#include "entry.h"

enum exit_code entry_run(const struct daemon_settings *settings)
{
	return EXIT_CODE_RUNTIME;
}
