#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>

#include <string_view>

namespace jaybridge {

/// Whether Text is well-formed UTF-8 (RFC 3629): no overlong forms, no
/// surrogates, nothing above U+10FFFF.
bool isWellFormedUtf8(std::string_view Text);

/// Validates text entered by an operator: 1 to MaxLength bytes of UTF-8 without
/// control characters, so that it can be printed and logged without escaping.
/// The `Invalid` error names Field and the permitted text.
Status checkOperatorText(std::string_view Text, ByteCount MaxLength,
                         const char *Field);

} // namespace jaybridge
