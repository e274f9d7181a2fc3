"""
Works out what each role costs at the size that the project is designed for.
"""
