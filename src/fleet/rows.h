// Keys and JSON encoding of the table rows that the fleet duty owns.
#pragma once

#include "fleet/model.h"

#include <string>

namespace heathercross::fleet {

/// The keys of the rows, as specified in docs/INTERFACES.md.
std::string instanceKey(const InstanceId &Name);
std::string permitKey(const PoolId &Pool);
std::string leaseKey(const PoolId &Pool);

/// Encodes an instance's row as JSON.
std::string encode(const InstanceRow &Row);

/// Encodes a pool's permit row as JSON.
std::string encode(const PermitRecord &Permit);

/// Decodes an instance's row. Throws FormatError with the row's key.
InstanceRecord decodeInstance(const Row &From);

/// Decodes a pool's permit row. Throws FormatError with the row's key.
PermitRecord decodePermit(const Row &From);

/// Returns the name of an instance's state in rows and API responses.
const char *name(InstanceState State);

} // namespace heathercross::fleet
