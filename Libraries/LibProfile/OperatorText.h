#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <string_view>

namespace jaybridge {

/// Whether Text is well-formed UTF-8 (RFC 3629): no overlong forms, no
/// surrogates, nothing above U+10FFFF.
bool isWellFormedUtf8(std::string_view Text);

/// Checks text that an operator typed: 1 to Greatest bytes of UTF-8 without
/// control characters, so that it can be printed and logged as it is. The error
/// names Field and what is permitted.
Status checkOperatorText(std::string_view Text, ByteCount Greatest,
                         const char *Field);

} // namespace jaybridge
