// The JSON forms and keys of the table rows that the fleet duty owns.
#pragma once

#include "fleet/model.h"

#include <string>

namespace heathercross::fleet {

/// The keys of the rows, as docs/INTERFACES.md has them.
std::string instanceKey(const InstanceId &Name);
std::string permitKey(const PoolId &Pool);
std::string leaseKey(const PoolId &Pool);

/// The row of an instance as JSON text.
std::string encode(const InstanceRow &Row);

/// The row of a pool's permits as JSON text.
std::string encode(const PermitRecord &Permit);

/// Reads an instance's row. Raises FormatError with the row's key.
InstanceRecord decodeInstance(const Row &From);

/// Reads a pool's permit row. Raises FormatError with the row's key.
PermitRecord decodePermit(const Row &From);

/// The word for an instance's state in rows and answers.
const char *name(InstanceState State);

} // namespace heathercross::fleet
