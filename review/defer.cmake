# Included by project(): the cases need the targets that follow it.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
               ${CMAKE_SOURCE_DIR}/review/cases.cmake)
