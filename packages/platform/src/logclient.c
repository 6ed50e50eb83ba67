#include "logclient.h"
