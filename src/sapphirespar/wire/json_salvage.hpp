// Keeps the readable elements of a JSON document of which some can't be parsed.
// Internal to the wire module.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

// Returns the document with each element of the array aKey that can't be parsed
// replaced. An element is replaced by its metadata alone, as an object without
// a value; aMetadataIn names the member of the element that holds the metadata,
// or is empty if the element itself does. Returns nothing if the document has
// no such array, is broken outside its elements, or if the metadata of an
// element can't be parsed either and aMustName is set; otherwise such an
// element is dropped.
std::optional<std::string> SalvageElements(std::string_view aDocument,
                                           std::string_view aKey,
                                           std::string_view aMetadataIn,
                                           bool aMustName);

} // namespace sapphirespar::wire
