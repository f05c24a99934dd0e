#pragma once

/*! Numbers of the CBOR format (RFC 8949): major types, and the low five bits of a first byte. */
namespace Utils::Cbor {

inline constexpr unsigned bitsPerByte = 8;
inline constexpr unsigned majorTypeShift = 5;
inline constexpr unsigned infoMask = 0x1f;

inline constexpr unsigned unsignedType = 0;
inline constexpr unsigned negativeType = 1;
inline constexpr unsigned bytesType = 2;
inline constexpr unsigned textType = 3;
inline constexpr unsigned arrayType = 4;
inline constexpr unsigned mapType = 5;
inline constexpr unsigned simpleType = 7;

inline constexpr unsigned largestDirectArgument = 23;
inline constexpr unsigned oneByteArgument = 24;
inline constexpr unsigned twoByteArgument = 25;
inline constexpr unsigned fourByteArgument = 26;
inline constexpr unsigned eightByteArgument = 27;

inline constexpr unsigned simpleFalse = 20;
inline constexpr unsigned simpleTrue = 21;

} // namespace Utils::Cbor
